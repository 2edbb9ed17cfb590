/**
 * @file Parses the `--fault` flags, which inject faults into a stand-in back end.
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { BackendFaults } from './backend-options.js';

const booleanValue = z.enum(['true', 'false']).transform((text) => text === 'true');
const nonNegativeNumber = z.coerce.number().min(0);

const faultsSchema = z.strictObject({
  coldStartMs: nonNegativeNumber.optional(),
  coldStartFactor: nonNegativeNumber.optional(),
  refusesAll: booleanValue.optional(),
  ignoresOpens: booleanValue.optional(),
  reportsIdle: booleanValue.optional(),
  freezesLoadAfterMs: nonNegativeNumber.optional(),
  flapPeriodMs: nonNegativeNumber.optional(),
  drainDelayMs: nonNegativeNumber.optional(),
  ignoresDrain: booleanValue.optional(),
});

/** Names that `--fault` accepts. */
export const faultNames = Object.keys(faultsSchema.shape);

/**
 * @param flags each in the form `name=value`
 * @returns the faults, or `invalid-settings`
 */
export function parseFaultFlags(flags: readonly string[]): Result<BackendFaults, AmberliftError> {
  const entries = flags.map((text) => {
    const [name = '', value = ''] = text.split('=', 2);
    return [name, value] as const;
  });
  const parsed = faultsSchema.safeParse(Object.fromEntries(entries));
  if (parsed.success) {
    return ok(parsed.data);
  }
  const allowed = faultNames.join(', ');
  const message = `--fault ${flags.join(' ')}: expected name=value with one of the names ${allowed}.`;
  return err(amberliftError('invalid-settings', message));
}
