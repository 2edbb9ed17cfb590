/**
 * @file Parses the `--fault` flags of a stand-in back end: the ways in which it misbehaves.
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { BackendFaults } from './backend-options.js';

const flag = z.enum(['true', 'false']).transform((text) => text === 'true');
const amount = z.coerce.number().min(0);

const faultsSchema = z.strictObject({
  coldStartMs: amount.optional(),
  coldStartFactor: amount.optional(),
  refusesAll: flag.optional(),
  ignoresOpens: flag.optional(),
  reportsIdle: flag.optional(),
  freezesLoadAfterMs: amount.optional(),
  flapPeriodMs: amount.optional(),
  drainDelayMs: amount.optional(),
  ignoresDrain: flag.optional(),
});

/** The names of all faults. */
export const faultNames = Object.keys(faultsSchema.shape);

/**
 * @param texts each `name=value`
 * @returns the faults, or `invalid-settings`
 */
export function parseFaultFlags(texts: readonly string[]): Result<BackendFaults, AmberliftError> {
  const entries = texts.map((text) => {
    const [name = '', value = ''] = text.split('=', 2);
    return [name, value] as const;
  });
  const parsed = faultsSchema.safeParse(Object.fromEntries(entries));
  if (parsed.success) {
    return ok(parsed.data);
  }
  const allowed = faultNames.join(', ');
  const message = `--fault ${texts.join(' ')}: allowed is name=value with one of ${allowed}.`;
  return err(amberliftError('invalid-settings', message));
}
