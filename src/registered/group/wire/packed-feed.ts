/**
 * @file The schema of packed feed messages, and the check that their columns are consistent. The fields have their
 * names on the wire; feed-codec.ts translates them. A message whose columns are consistent can be read even if some values
 * are out of bounds; omitted-entries.ts leaves out the entries with such values.
 */
import * as z from 'zod/mini';
import {
  indexSchema as index,
  nonNegativeSchema as amount,
  textSchema as text,
} from '../../../shared/consensus/message-schemas.js';
import { ANSWER_STATS_ROWS } from '../../load-exchange/answer-stats.js';
import { LOAD_ROWS, type RowShape } from '../../load-exchange/packed-rows.js';
import { SUSPICION_ROWS } from '../../load-exchange/suspicion-rows.js';
import { MAX_COLUMN_ROWS } from '../entry-schemas.js';
import { packedRowsSchema } from './packed-rows-schema.js';
import type { Liveness } from '../../registry/backend-liveness.js';
import type { DepartureKind } from '../../registry/backend-record.js';
import type { FullSyncStage } from '../group-messages.js';

/** Size of an instance number, from which the token of a back end is derived. */
export const INSTANCE_BYTES = 8;
/** Marks a removed route in the column of target lists. */
export const NO_TARGETS = 0;
/** Marks a route without attributes in the column of attributes. */
export const NO_ATTRIBUTES = 0;
const ATTRIBUTE_NUMBERS = 2;
/** Marks a zone whose readmission the sender has not seen. */
export const UNKNOWN_AGE = -1;
/** Liveness by its index on the wire. */
export const LIVENESS: readonly Liveness[] = ['alive', 'suspect', 'dead'];
/** Kinds of departures by their indexes on the wire. */
export const DEPARTURES: readonly DepartureKind[] = ['draining', 'gone'];
/** Stages of a full sync by their indexes on the wire. */
export const FULL_SYNC_STAGES: readonly FullSyncStage[] = ['begins', 'goes-on', 'ends', 'whole'];

/** Schemas of the values in the columns. Indexes that refer to other columns are always validated. */
interface ValueSchemas {
  readonly text: z.ZodMiniType<string>;
  readonly integer: z.ZodMiniType<number>;
  readonly count: z.ZodMiniType<number>;
  readonly amount: z.ZodMiniType<number>;
}

/** The values that entries may have. */
const VALID_VALUES: ValueSchemas = { text, integer: z.int(), count: index, amount };
const anyNumber = z.custom<number>((value) => typeof value === 'number');
/** Any values of the right types: some entries can't be applied, but the others can be read. */
const ANY_VALUES: ValueSchemas = {
  text: z.string(),
  integer: anyNumber,
  count: anyNumber,
  amount: anyNumber,
};

function columnOf<T extends z.ZodMiniType>(value: T) {
  return z.array(value).check(z.maxLength(MAX_COLUMN_ROWS));
}

function rowsOf(shape: RowShape, { count }: ValueSchemas) {
  return packedRowsSchema(shape, count);
}

function configSchema(values: ValueSchemas) {
  const { text: name, amount: value } = values;
  const indexes = columnOf(index);
  return z.object({
    version: index,
    base: index,
    idleMs: value,
    first: index,
    count: index,
    /** Host and port as one number per route; each but the first is the difference from the previous one. */
    keys: columnOf(z.int()),
    names: columnOf(name),
    /** Target lists; each alternates between indexes into `names` and weights. */
    lists: z.array(z.array(value)),
    /** Per route the number of its target list, from 1; `NO_TARGETS` for a removed route. */
    listOf: indexes,
    /** True if the sender lists changes of attributes; absent if its version does not know them. */
    listsAttributes: z.optional(z.boolean()),
    /** Distinct attributes: priority and latency objective. */
    attributes: z.optional(z.array(z.array(value).check(z.length(ATTRIBUTE_NUMBERS)))),
    /** Per route the number of its attributes, from 1; `NO_ATTRIBUTES` if it has none. */
    attributesOf: z.optional(indexes),
    /** Services with a slow start, in columns. */
    warmUps: z.object({ names: columnOf(name), ms: z.array(value), perS: z.array(value) }),
  });
}

function recordsSchema(values: ValueSchemas) {
  const texts = columnOf(values.text);
  const indexes = columnOf(index);
  const amounts = z.array(values.amount);
  return z.object({
    ids: texts,
    instances: z.instanceof(Uint8Array),
    names: texts,
    services: indexes,
    zones: indexes,
    addresses: addressesSchema(values),
    capacities: amounts,
    warmUps: amounts,
    sequences: amounts,
    ages: columnOf(values.integer),
  });
}

function addressesSchema(values: ValueSchemas) {
  return z.object({
    hosts: columnOf(values.text),
    hostOf: columnOf(index),
    ports: columnOf(values.count),
  });
}

function feedSchema(values: ValueSchemas) {
  const texts = columnOf(values.text);
  const counts = columnOf(values.count);
  const indexes = columnOf(index);
  const addresses = addressesSchema(values);
  return z.object({
    type: z.literal('feed'),
    isCurrent: z.boolean(),
    isComplete: z.boolean(),
    isCounted: z.boolean(),
    transfer: z.optional(index),
    records: z.optional(recordsSchema(values)),
    judgements: z.optional(z.object({ ids: texts, kinds: indexes, silentMs: counts })),
    departures: z.optional(z.object({ ids: texts, kinds: indexes })),
    balancers: z.optional(z.object({ ids: texts, names: texts, zones: indexes, addresses })),
    lost: z.optional(texts),
    controls: z.optional(z.object({ names: texts, zones: indexes, addresses })),
    zones: z.optional(
      z.object({
        names: texts,
        areEvacuated: columnOf(z.boolean()),
        orders: counts,
        /** Milliseconds since each readmission; `UNKNOWN_AGE` if the sender has not seen it. */
        readmittedAgo: columnOf(values.integer),
      }),
    ),
    config: z.optional(configSchema(values)),
    loads: z.optional(rowsOf(LOAD_ROWS, values)),
    signals: z.optional(rowsOf(ANSWER_STATS_ROWS, values)),
    suspects: z.optional(rowsOf(SUSPICION_ROWS, values)),
  });
}

const validFeed = feedSchema(VALID_VALUES);
const readableFeed = feedSchema(ANY_VALUES);

/** A feed message in its wire form. */
export type PackedFeed = z.infer<typeof validFeed>;
/** Back ends in columns. */
export type PackedRecords = NonNullable<PackedFeed['records']>;
/** Addresses in columns. */
export type PackedAddresses = PackedRecords['addresses'];
/** Balancers in columns. */
export type PackedBalancers = NonNullable<PackedFeed['balancers']>;
/** Control machines in columns. */
export type PackedControls = NonNullable<PackedFeed['controls']>;
/** Zones in columns. */
export type PackedZones = NonNullable<PackedFeed['zones']>;
/** Route changes in columns. */
export type PackedConfig = NonNullable<PackedFeed['config']>;

/** A packed message, and whether all of its entries are valid. */
export interface ParsedFeed {
  readonly packed: PackedFeed;
  readonly areValuesValid: boolean;
}

/**
 * @returns the value as a packed message, or undefined if its columns are not those of one; never throws
 */
export function parsePackedFeed(value: unknown): ParsedFeed | undefined {
  const valid = validFeed.safeParse(value);
  const parsed = valid.success ? valid : readableFeed.safeParse(value);
  return parsed.success && hasConsistentColumns(parsed.data)
    ? { packed: parsed.data, areValuesValid: valid.success }
    : undefined;
}

/** The columns of a table must have equal lengths, and their indexes must be in range. */
function hasConsistentColumns(feed: PackedFeed): boolean {
  const { records, balancers, controls, config, zones } = feed;
  return [
    records === undefined || areRecordsConsistent(records),
    balancers === undefined ||
      (areAddressesConsistent(balancers.addresses, balancers.ids.length) &&
        isIndexColumn(balancers.zones, balancers.ids.length, balancers.names.length)),
    controls === undefined ||
      (areAddressesConsistent(controls.addresses, controls.zones.length) &&
        isIndexColumn(controls.zones, controls.zones.length, controls.names.length)),
    config === undefined || isConfigConsistent(config),
    zones === undefined ||
      [zones.areEvacuated, zones.orders, zones.readmittedAgo].every(
        (column) => column.length === zones.names.length,
      ),
    feed.judgements === undefined ||
      (isIndexColumn(feed.judgements.kinds, feed.judgements.ids.length, LIVENESS.length) &&
        feed.judgements.silentMs.length === feed.judgements.ids.length),
    feed.departures === undefined ||
      isIndexColumn(feed.departures.kinds, feed.departures.ids.length, DEPARTURES.length),
    feed.transfer === undefined || feed.transfer < FULL_SYNC_STAGES.length,
  ].every(Boolean);
}

function areRecordsConsistent(packed: PackedRecords): boolean {
  const { ids, names, instances, services, zones } = packed;
  const { length } = ids;
  return (
    instances.length === length * INSTANCE_BYTES &&
    isIndexColumn(services, length, names.length) &&
    isIndexColumn(zones, length, names.length) &&
    areAddressesConsistent(packed.addresses, length) &&
    [packed.capacities, packed.warmUps, packed.sequences, packed.ages].every(
      (column) => column.length === length,
    )
  );
}

function isConfigConsistent(config: PackedConfig): boolean {
  const { listOf, keys, lists, warmUps, attributes = [], attributesOf } = config;
  const { names, ms, perS } = warmUps;
  return (
    isIndexColumn(listOf, keys.length, lists.length + 1) &&
    (attributesOf === undefined ||
      isIndexColumn(attributesOf, keys.length, attributes.length + 1)) &&
    ms.length === names.length &&
    perS.length === names.length
  );
}

function areAddressesConsistent(
  { hosts, hostOf, ports }: PackedAddresses,
  length: number,
): boolean {
  return ports.length === length && isIndexColumn(hostOf, length, hosts.length);
}

/** @returns true if a column has `length` entries, each an index below `count` */
function isIndexColumn(column: readonly number[], length: number, count: number): boolean {
  return column.length === length && column.every((entry) => entry < count);
}
