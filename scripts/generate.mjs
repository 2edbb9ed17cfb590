// Writes the files that are made from others: the statement parser and the references.
// Usage: npm run generate
import { writeFileSync } from 'node:fs';
import { PARSER_FILE, parserSource } from '../dist/test/managed/language/parser-source.js';

writeFileSync(PARSER_FILE, parserSource());
console.log(`Wrote ${PARSER_FILE}.`);

// Loaded only now: the reference needs no parser, but a build without a parser has gaps.
const reference = await import('../dist/test/managed/language/reference-source.js');
writeFileSync(reference.REFERENCE_FILE, await reference.referenceSource());
console.log(`Wrote ${reference.REFERENCE_FILE}.`);

const settings = await import('../dist/test/tools/settings-reference/reference-source.js');
writeFileSync(settings.SETTINGS_REFERENCE_FILE, await settings.settingsReferenceSource());
console.log(`Wrote ${settings.SETTINGS_REFERENCE_FILE}.`);
