/**
 * @file Commands of operators and of the system, as they stand in the replicated log, and their outcomes. Field names
 * are stored and sent as they are here.
 */
import { z } from 'zod';
import { addressSchema } from '../../shared/common/address-schema.js';
import type { Address } from '../../shared/common/address.js';
import { parseAddressRange } from '../../shared/common/address-range.js';
import type { AmberliftError } from '../../shared/common/error-kinds.js';
import { placementPolicyNames } from './routing-config.js';

/** Length of the longest name of a service, zone or operator. */
export const MAX_NAME_LENGTH = 63;
/** What a name of a service, zone or operator looks like. */
export const NAME_PATTERN = /^[a-z][a-z0-9-]*$/;
/** Length of the longest command ID. */
export const MAX_COMMAND_ID_LENGTH = 128;
/** A routing token names its key in one byte. */
const MAX_KEY_ID = 255;
/** A delay after which a planned change is due is at most a year, in milliseconds. */
export const MAX_PLAN_DELAY_MS = 366 * 24 * 60 * 60 * 1000;

/** Schema of a name of a service, zone or operator. */
export const nameSchema = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(NAME_PATTERN, 'lower-case letters, digits and hyphens');
const name = nameSchema;
const positive = z.number().int().positive();
const limits = z.strictObject({
  opensPerSecond: positive.optional(),
  connectionsPerBackend: positive.optional(),
});
/** The service version that the change was based on; the change conflicts where it is outdated. */
const basedOnVersion = positive.optional();

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
  backendId: positive,
  basedOnVersion,
});
const cancelDrain = z.strictObject({
  type: z.literal('cancel-drain'),
  backendId: positive,
  basedOnVersion,
});
const retireBackend = z.strictObject({
  type: z.literal('retire-backend'),
  backendId: positive,
  basedOnVersion,
});

/** Schema of the commands that change the configuration; each may also be planned. */
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
  /** When: Unix time in milliseconds, or a delay from when the command is applied. */
  when: z.union([
    z.strictObject({ atMs: z.number().int().nonnegative() }),
    z.strictObject({ inMs: z.number().int().nonnegative().max(MAX_PLAN_DELAY_MS) }),
  ]),
  change: changeCommandSchema,
});
const cancelPlan = z.strictObject({ type: z.literal('cancel-plan'), planId: positive });

/** Schema of every command that an operator may send. */
export const operatorCommandSchema = z.discriminatedUnion('type', [
  ...changeCommandSchema.options,
  planChange,
  cancelPlan,
]);

/** A command that an operator sends. */
export type OperatorCommand = z.infer<typeof operatorCommandSchema>;

/** Schema of a range of addresses. */
export const addressRangeText = z
  .string()
  .refine((text) => parseAddressRange(text) !== undefined, 'such as 10.1.0.0/16:7000-7999');

/** Schema of commands that the system itself puts into the log. */
const systemCommandSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('set-operators'),
    operators: z.array(
      z.strictObject({
        name,
        tokenHash: z.string(),
        addressRanges: z.array(addressRangeText).readonly().optional(),
      }),
    ),
  }),
  /** Adds a key: as `next`, or as `current` where there is no key yet; or moves one on. */
  z.strictObject({
    type: z.literal('set-token-key'),
    id: z.number().int().min(0).max(MAX_KEY_ID),
    secret: z.custom<Uint8Array>((value) => value instanceof Uint8Array, '16 bytes'),
    state: z.enum(['next', 'current']),
  }),
  /** Makes the `next` key `current`, and the `current` one `previous`. */
  z.strictObject({
    type: z.literal('promote-token-key'),
    id: z.number().int().min(0).max(MAX_KEY_ID),
  }),
  /** Removes a `previous` key. */
  z.strictObject({
    type: z.literal('remove-token-key'),
    id: z.number().int().min(0).max(MAX_KEY_ID),
  }),
  /** Frees the addresses that left their service at this index or before. */
  z.strictObject({ type: z.literal('release-addresses'), fencedIndex: z.number().int().min(0) }),
  /** Executes a planned change that is due by the time of this entry. */
  z.strictObject({ type: z.literal('run-planned-change'), operator: name, planId: positive }),
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
  /**
   * Unix time in milliseconds on the clock of the leader that proposed it. The replicated step
   * takes all time from here. Without it no time passes.
   */
  readonly atMs?: number | undefined;
}

/** The outcome of an accepted command. */
export interface AcceptedOutcome {
  readonly accepted: true;
  /** Index of the log entry; the configuration of this index has the change. */
  readonly index: number;
  /** Counts the accepted commands of this operator alone; shown to operators in place of the index. */
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
  /** Operator address of the leader, where another machine leads. */
  readonly leader?: Address;
}

/** The outcome of a command that the replicated step applied or refused. */
export type CommandOutcome = AcceptedOutcome | RefusedOutcome;

/**
 * @returns true for a command that only the system may send
 */
export function isSystemCommand(command: Command): command is SystemCommand {
  return systemCommandTypes.has(command.type);
}

const systemCommandTypes: ReadonlySet<string> = new Set(
  systemCommandSchema.options.map((option) => option.shape.type.value),
);
