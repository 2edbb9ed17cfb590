/**
 * @file Schemas and types of operator commands, system commands and their outcomes. They are stored in the replicated
 * log and sent over the network under these field names.
 */
import { z } from 'zod';
import { addressSchema } from '../../shared/common/address-schema.js';
import type { Address } from '../../shared/common/address.js';
import { parseAddressRange } from '../../shared/common/address-range.js';
import type { AmberliftError } from '../../shared/common/error-kinds.js';
import { placementPolicyNames } from './routing-config.js';

/** Maximum length of a service, zone or operator name, in characters. */
export const MAX_NAME_LENGTH = 63;
/** Pattern of service, zone and operator names. */
export const NAME_PATTERN = /^[a-z][a-z0-9-]*$/;
/** Maximum length of a command ID, in characters. */
export const MAX_COMMAND_ID_LENGTH = 128;
/** Routing tokens have one byte for the key ID. */
const MAX_KEY_ID = 255;
/** Longest delay of a planned change: one leap year. */
export const MAX_PLAN_DELAY_MS = 366 * 24 * 60 * 60 * 1000;

/** Schema of service, zone and operator names. */
export const nameSchema = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(NAME_PATTERN, 'lower-case letters, digits and hyphens');
const name = nameSchema;
const positiveInteger = z.number().int().positive();
const limits = z.strictObject({
  opensPerSecond: positiveInteger.optional(),
  connectionsPerBackend: positiveInteger.optional(),
});
/** Expected version of the service; another version causes a `conflict`. */
const basedOnVersion = positiveInteger.optional();

const defineService = z.strictObject({
  type: z.literal('define-service'),
  service: name,
  address: addressSchema,
  policy: z.enum(placementPolicyNames).default('adaptive'),
  limits: limits.default({}),
});
const changeService = z.strictObject({
  type: z.literal('change-service'),
  service: name,
  policy: z.enum(placementPolicyNames).optional(),
  limits: limits.optional(),
  basedOnVersion,
});
const retireService = z.strictObject({
  type: z.literal('retire-service'),
  service: name,
  basedOnVersion,
});
const addBackend = z.strictObject({
  type: z.literal('add-backend'),
  service: name,
  address: addressSchema,
  healthAddress: addressSchema,
  zone: name,
  basedOnVersion,
});
const drainBackend = z.strictObject({
  type: z.literal('drain-backend'),
  backendId: positiveInteger,
  basedOnVersion,
});
const cancelDrain = z.strictObject({
  type: z.literal('cancel-drain'),
  backendId: positiveInteger,
  basedOnVersion,
});
const retireBackend = z.strictObject({
  type: z.literal('retire-backend'),
  backendId: positiveInteger,
  basedOnVersion,
});

/** Schema of the commands that change the configuration; these can also be planned. */
const changeCommandSchema = z.discriminatedUnion('type', [
  defineService,
  changeService,
  retireService,
  addBackend,
  drainBackend,
  cancelDrain,
  retireBackend,
]);

/** A command that changes the configuration. */
export type ChangeCommand = z.infer<typeof changeCommandSchema>;

const planChange = z.strictObject({
  type: z.literal('plan-change'),
  /** Unix time in milliseconds, or a delay in milliseconds after the command is applied. */
  when: z.union([
    z.strictObject({ atMs: z.number().int().nonnegative() }),
    z.strictObject({ inMs: z.number().int().nonnegative().max(MAX_PLAN_DELAY_MS) }),
  ]),
  change: changeCommandSchema,
});
const cancelPlan = z.strictObject({ type: z.literal('cancel-plan'), planId: positiveInteger });

/** Schema of all commands that an operator may send. */
export const operatorCommandSchema = z.discriminatedUnion('type', [
  ...changeCommandSchema.options,
  planChange,
  cancelPlan,
]);

/** A command that an operator sends. */
export type OperatorCommand = z.infer<typeof operatorCommandSchema>;

/** Schema of an address range in text form. */
export const addressRangeSchema = z
  .string()
  .refine((text) => parseAddressRange(text) !== undefined, 'such as 10.1.0.0/16:7000-7999');

/** Schema of the commands that the leader itself appends to the log. */
const systemCommandSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('set-operators'),
    operators: z.array(
      z.strictObject({
        name,
        tokenHash: z.string(),
        addressRanges: z.array(addressRangeSchema).readonly().optional(),
      }),
    ),
  }),
  /** Adds a key as `next`, or as `current` in a new cluster. */
  z.strictObject({
    type: z.literal('set-token-key'),
    id: z.number().int().min(0).max(MAX_KEY_ID),
    secret: z.custom<Uint8Array>((value) => value instanceof Uint8Array, '16 bytes'),
    state: z.enum(['next', 'current']),
  }),
  /** Changes the `next` key to `current`, and the `current` key to `previous`. */
  z.strictObject({
    type: z.literal('promote-token-key'),
    id: z.number().int().min(0).max(MAX_KEY_ID),
  }),
  /** Removes a `previous` key. */
  z.strictObject({
    type: z.literal('remove-token-key'),
    id: z.number().int().min(0).max(MAX_KEY_ID),
  }),
  /** Ends the quarantine of addresses removed at this log index or earlier. */
  z.strictObject({ type: z.literal('release-addresses'), fencedIndex: z.number().int().min(0) }),
  /** Executes a planned change that is due at the time of this entry. */
  z.strictObject({
    type: z.literal('run-planned-change'),
    operator: name,
    planId: positiveInteger,
  }),
]);

/** A command that the leader itself appends to the log. */
export type SystemCommand = z.infer<typeof systemCommandSchema>;

/** A command in the log, from an operator or the system. */
export type Command = OperatorCommand | SystemCommand;

/** Sender of system commands in the log; reserved, so no operator may have this name. */
export const SYSTEM_OPERATOR = 'system';

/** A log entry with one command. */
export interface CommandEntry {
  /** Idempotency key, chosen by the client: a retry with the same ID is not applied again. */
  readonly commandId: string;
  /** The operator who sent it, or `SYSTEM_OPERATOR`. */
  readonly operator: string;
  readonly command: Command;
  /**
   * Unix time in milliseconds on the proposing leader's clock. It is the only clock of the replicated state; if
   * undefined, the replicated time does not advance.
   */
  readonly atMs?: number | undefined;
}

/** The outcome of an accepted command. */
export interface AcceptedOutcome {
  readonly accepted: true;
  /** Index of the log entry that made the change. */
  readonly index: number;
  /** The operator's revision after the change; shown to operators instead of the log index. */
  readonly revision?: number;
  /** Version of the service after the change. */
  readonly version?: number;
  readonly serviceId?: number;
  readonly backendId?: number;
  readonly planId?: number;
}

/** The outcome of a refused command. */
interface RefusedOutcome {
  readonly accepted: false;
  readonly error: AmberliftError;
  /** Operator address of the leader, if another machine is the leader. */
  readonly leader?: Address;
}

/** The outcome of a command. */
export type CommandOutcome = AcceptedOutcome | RefusedOutcome;

/**
 * @returns true if only the system may send this command
 */
export function isSystemCommand(command: Command): command is SystemCommand {
  return systemCommandTypes.has(command.type);
}

const systemCommandTypes: ReadonlySet<string> = new Set(
  systemCommandSchema.options.map((option) => option.shape.type.value),
);
