/** @file Generates docs/SETTINGS.md as committed: the reference text, formatted by Prettier. */
import { format, resolveConfig } from 'prettier';
import { settingsReference } from '../../../src/tools/settings-reference/settings-reference.js';

export const SETTINGS_REFERENCE_FILE = 'docs/SETTINGS.md';

export async function settingsReferenceSource(): Promise<string> {
  const config = await resolveConfig(SETTINGS_REFERENCE_FILE);
  return format(settingsReference(), { ...config, filepath: SETTINGS_REFERENCE_FILE });
}
