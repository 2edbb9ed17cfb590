/** @file Generates the statement parser from its grammar, for `npm run generate` and for its test. */
import { readFileSync } from 'node:fs';
import peggy from 'peggy';

export const GRAMMAR_FILE = 'src/managed/language/statement.peggy';
export const PARSER_FILE = 'src/managed/language/generated/statement-parser.ts';

const HEADER =
  '// @ts-nocheck\n// Made from statement.peggy by "npm run generate"; not to be edited.\n';

export function parserSource(): string {
  const grammar = readFileSync(GRAMMAR_FILE, 'utf8');
  return HEADER + peggy.generate(grammar, { output: 'source', format: 'es' });
}
