// Generates the statement parser and the reference pages.
// Usage: npm run generate
import { writeFileSync } from 'node:fs';
import { PARSER_FILE, parserSource } from '../dist/test/managed/language/parser-source.js';

writeFileSync(PARSER_FILE, parserSource());
console.log(`Wrote ${PARSER_FILE}.`);

// Import after the parser is written: the reference module cannot load in a build without it.
const reference = await import('../dist/test/managed/language/reference-source.js');
writeFileSync(reference.REFERENCE_FILE, await reference.referenceSource());
console.log(`Wrote ${reference.REFERENCE_FILE}.`);

const settings = await import('../dist/test/tools/settings-reference/reference-source.js');
writeFileSync(settings.SETTINGS_REFERENCE_FILE, await settings.settingsReferenceSource());
console.log(`Wrote ${settings.SETTINGS_REFERENCE_FILE}.`);
