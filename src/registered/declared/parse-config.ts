/**
 * @file Schema and parser of the native JSON form of a declared configuration. Adapters for other forms translate them
 * and use check-config.ts only.
 */
import { err, Result } from 'neverthrow';
import * as z from 'zod/mini';
import { describeFaults } from '../../shared/common/schema-faults.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import { checkDeclaredConfig } from './check-config.js';
import type { DeclaredConfig } from './declared-config.js';
import { DEFAULT_IDLE_TIMEOUT_MS } from './idle-timeout.js';
import { readStored } from './receivable-config.js';
import { LOWEST_PRIORITY } from './route-attributes.js';

const MAX_PORT = 65_535;

const targetSchema = z.strictObject({
  service: z.string().check(z.minLength(1)),
  weight: z._default(z.number(), 1),
});

const configSchema = z.strictObject({
  version: z.int().check(z.positive()),
  services: z.array(
    z.strictObject({
      name: z.string().check(z.minLength(1)),
      warmUpMs: z.optional(z.number().check(z.nonnegative())),
      coldRequestsPerS: z.optional(z.number().check(z.nonnegative())),
    }),
  ),
  routes: z.array(
    z.strictObject({
      name: z.string().check(z.minLength(1)),
      host: z.ipv4(),
      port: z.int().check(z.positive(), z.maximum(MAX_PORT)),
      targets: z.array(targetSchema).check(z.minLength(1)),
      kind: z.enum(['repeatable', 'at-most-once']),
      timeoutMs: z.number().check(z.nonnegative()),
      priority: z.optional(z.int().check(z.nonnegative(), z.maximum(LOWEST_PRIORITY))),
      latencyObjectiveMs: z.optional(z.number().check(z.positive())),
    }),
  ),
  idleTimeoutMs: z._default(z.number().check(z.positive()), DEFAULT_IDLE_TIMEOUT_MS),
});

/**
 * @param content parsed JSON of a file or request
 * @returns the configuration, or an `invalid-command` error with all schema faults or the first inconsistency
 */
export function parseDeclaredConfig(content: unknown): Result<DeclaredConfig, AmberliftError> {
  const parsed = configSchema.safeParse(content);
  if (parsed.success) {
    return checkDeclaredConfig(parsed.data);
  }
  return err(amberliftError('invalid-command', describeFaults(parsed.error)));
}

/**
 * @param text JSON of a configuration of the log, which another version may have checked less
 * @returns the part of the configuration that receivers can hold, or `invalid-command` if the text can't be read
 */
export function readStoredConfig(text: string): Result<DeclaredConfig, AmberliftError> {
  return Result.fromThrowable(
    () => readStored(JSON.parse(text) as DeclaredConfig),
    (cause) => amberliftError('invalid-command', `Invalid stored configuration: ${String(cause)}`),
  )();
}
