/**
 * @file Loads the settings of `amberlift balancer` and `amberlift control` from a YAML file and flags.
 */
import type { Result } from 'neverthrow';
import type { AmberliftError } from '../../shared/common/error-kinds.js';
import { loadSettingsAs, type SettingsSource } from '../../shared/settings/load-settings.js';
import { settingsSchema, type Settings } from './settings-schema.js';

/**
 * @returns the validated settings, or `invalid-settings`
 */
export function loadSettings(source: SettingsSource): Result<Settings, AmberliftError> {
  return loadSettingsAs(settingsSchema, source);
}
