/** @file Generates the formatted content of docs/COMMANDS.md. */
import { format, resolveConfig } from 'prettier';
import { referenceText } from '../../../src/managed/language/reference-text.js';

export const REFERENCE_FILE = 'docs/COMMANDS.md';

export async function referenceSource(): Promise<string> {
  const config = await resolveConfig(REFERENCE_FILE);
  return format(referenceText(), { ...config, parser: 'markdown' });
}
