/**
 * @file Commands of operators and of the system, as they stand in the replicated log, and their
 * outcomes.
 */
import { z } from 'zod';
import { addressSchema } from '../common/address.js';
import type { AmberliftError } from '../flow/error-kinds.js';
import { placementPolicyNames } from './cluster-state.js';

const MAX_NAME_LENGTH = 63;
const name = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(/^[a-z][a-z0-9-]*$/, 'lower-case letters, digits and hyphens');
const positive = z.number().int().positive();
const limits = z.strictObject({
  opensPerSecond: positive.optional(),
  connectionsPerBackend: positive.optional(),
});
/** The service version that the change was based on; the change conflicts where it is outdated. */
const basedOnVersion = positive.optional();

/** Schema of every command that an operator may send. */
export const operatorCommandSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('define-service'),
    service: name,
    address: addressSchema,
    policy: z.enum(placementPolicyNames).default('adaptive'),
    limits: limits.default({}),
  }),
  z.strictObject({
    type: z.literal('change-service'),
    service: name,
    policy: z.enum(placementPolicyNames).optional(),
    limits: limits.optional(),
    basedOnVersion,
  }),
  z.strictObject({ type: z.literal('retire-service'), service: name, basedOnVersion }),
  z.strictObject({
    type: z.literal('add-backend'),
    service: name,
    address: addressSchema,
    healthAddress: addressSchema,
    zone: name,
    basedOnVersion,
  }),
  z.strictObject({ type: z.literal('drain-backend'), backendId: positive, basedOnVersion }),
  z.strictObject({ type: z.literal('cancel-drain'), backendId: positive, basedOnVersion }),
  z.strictObject({ type: z.literal('retire-backend'), backendId: positive, basedOnVersion }),
]);

/** A command that an operator sends. */
export type OperatorCommand = z.infer<typeof operatorCommandSchema>;

/** Schema of commands that the system itself puts into the log. */
export const systemCommandSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('set-operators'),
    operators: z.array(z.strictObject({ name, tokenHash: z.string() })),
  }),
  z.strictObject({
    type: z.literal('set-token-key'),
    id: z.number().int().min(0).max(255),
    secret: z.instanceof(Uint8Array),
    state: z.enum(['next', 'current', 'previous']),
  }),
]);

/** A command of the system itself. */
export type SystemCommand = z.infer<typeof systemCommandSchema>;

/** Any command in the log. */
export type Command = OperatorCommand | SystemCommand;

/** Name under which the system's own commands stand in the log; no operator may have it. */
export const SYSTEM_OPERATOR = 'system';

/** One command as it stands in the log. */
export interface CommandEntry {
  /** Made by the client; the same ID sent again gets the same outcome and is applied once. */
  readonly commandId: string;
  /** The operator who sent it, or `SYSTEM_OPERATOR`. */
  readonly operator: string;
  readonly command: Command;
}

/** What came of a command that was applied or refused by the replicated step. */
export type CommandOutcome =
  | {
      readonly accepted: true;
      /** Index of the log entry; the configuration of this index has the change. */
      readonly index: number;
      /** Version of the service after the change. */
      readonly version?: number;
      readonly serviceId?: number;
      readonly backendId?: number;
    }
  | { readonly accepted: false; readonly error: AmberliftError };
