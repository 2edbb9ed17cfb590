/**
 * @file The schema of a feed as it travels, in columns, and the check that these fit each other. Nothing of a message
 * is used before. The fields are the names on the wire; feed-codec.ts translates them.
 */
import * as z from 'zod/mini';
import {
  indexSchema as index,
  textSchema as text,
} from '../../../shared/consensus/message-schemas.js';
import { ANSWER_STATS_ROWS } from '../../load-exchange/answer-stats.js';
import { LOAD_ROWS } from '../../load-exchange/packed-rows.js';
import { packedRowsSchema } from './packed-rows-schema.js';
import type { Liveness } from '../../registry/backend-liveness.js';
import type { DepartureKind } from '../../registry/backend-record.js';
import type { FullSyncStage } from '../group-messages.js';

/** Room for the largest fleet in one message, against faulty senders. */
const MAX_ITEMS = 50_000;
/** Bytes of the number from which the token of a back end is made. */
export const INSTANCE_BYTES = 8;
/** Stands for a route that is dropped, in the column of target lists. */
export const DROPPED = 0;
/** Stands for a readmission that the sender has not seen. */
export const NOT_SEEN = -1;
/** Liveness by its number on the wire. */
export const LIVENESS: readonly Liveness[] = ['alive', 'suspect', 'dead'];
/** Kinds of departures by their numbers on the wire. */
export const DEPARTURES: readonly DepartureKind[] = ['draining', 'gone'];
/** Stages of a full sync by their numbers on the wire. */
export const FULL_SYNC_STAGES: readonly FullSyncStage[] = ['begins', 'goes-on', 'ends', 'whole'];

const numbers = z.array(z.int()).check(z.maxLength(MAX_ITEMS));
const indexes = z.array(index).check(z.maxLength(MAX_ITEMS));
const texts = z.array(text).check(z.maxLength(MAX_ITEMS));
const addresses = z.object({ hosts: texts, hostOf: indexes, ports: indexes });

const packedRecords = z.object({
  ids: texts,
  instances: z.instanceof(Uint8Array),
  names: texts,
  services: indexes,
  zones: indexes,
  addresses,
  capacities: z.array(z.number().check(z.nonnegative())),
  warmUps: z.array(z.number().check(z.nonnegative())),
  sequences: z.array(z.number().check(z.nonnegative())),
  ages: numbers,
});
const packedBalancers = z.object({ ids: texts, names: texts, zones: indexes, addresses });
const packedControls = z.object({ names: texts, zones: indexes, addresses });
const packedConfig = z.object({
  version: index,
  base: index,
  idleMs: z.number().check(z.nonnegative()),
  first: index,
  count: index,
  /** Host and port as one number each, but for the first as the difference from the one before. */
  keys: numbers,
  names: texts,
  /** Lists of targets: a service and a weight by turns. */
  lists: z.array(z.array(z.number().check(z.nonnegative()))),
  /** Which list a route has, from 1; `DROPPED` for none. */
  listOf: indexes,
  /** Services whose back ends are cold after their start, by columns. */
  warmUps: z.object({
    names: texts,
    ms: z.array(z.number().check(z.nonnegative())),
    perS: z.array(z.number().check(z.nonnegative())),
  }),
});
const packedZones = z.object({
  names: texts,
  areEvacuated: z.array(z.boolean()).check(z.maxLength(MAX_ITEMS)),
  orders: indexes,
  /** Milliseconds since each was readmitted; `NOT_SEEN` where that was not seen. */
  readmittedAgo: numbers,
});
const livenessChanges = z.object({ ids: texts, kinds: indexes, silentMs: indexes });
const departures = z.object({ ids: texts, kinds: indexes });

const packedFeed = z.object({
  type: z.literal('feed'),
  isCurrent: z.boolean(),
  isComplete: z.boolean(),
  isCounted: z.boolean(),
  transfer: z.optional(index),
  records: z.optional(packedRecords),
  judgements: z.optional(livenessChanges),
  departures: z.optional(departures),
  balancers: z.optional(packedBalancers),
  lost: z.optional(texts),
  controls: z.optional(packedControls),
  zones: z.optional(packedZones),
  config: z.optional(packedConfig),
  loads: z.optional(packedRowsSchema(LOAD_ROWS)),
  signals: z.optional(packedRowsSchema(ANSWER_STATS_ROWS)),
});

/** A feed message as it travels. */
export type PackedFeed = z.infer<typeof packedFeed>;
/** Back ends in columns. */
export type PackedRecords = z.infer<typeof packedRecords>;
/** Addresses in columns. */
export type PackedAddresses = z.infer<typeof addresses>;
/** Balancers in columns. */
export type PackedBalancers = z.infer<typeof packedBalancers>;
/** Control machines in columns. */
export type PackedControls = z.infer<typeof packedControls>;
/** Zones in columns. */
export type PackedZones = z.infer<typeof packedZones>;
/** Changes of routes in columns. */
export type PackedConfig = z.infer<typeof packedConfig>;

/**
 * @returns the packed message that a value is, or undefined where it is none; never throws
 */
export function parsePackedFeed(value: unknown): PackedFeed | undefined {
  const parsed = packedFeed.safeParse(value);
  return parsed.success && hasEqualColumns(parsed.data) ? parsed.data : undefined;
}

/** The columns of a table must be equally long, and refer only to entries that exist. */
function hasEqualColumns(feed: PackedFeed): boolean {
  const { records, balancers, controls, config, zones } = feed;
  return [
    records === undefined || isWholeRecords(records),
    balancers === undefined ||
      (isWholeAddresses(balancers.addresses, balancers.ids.length) &&
        isColumn(balancers.zones, balancers.ids.length, balancers.names.length)),
    controls === undefined ||
      (isWholeAddresses(controls.addresses, controls.zones.length) &&
        isColumn(controls.zones, controls.zones.length, controls.names.length)),
    config === undefined || isWholeConfig(config),
    zones === undefined ||
      [zones.areEvacuated, zones.orders, zones.readmittedAgo].every(
        (column) => column.length === zones.names.length,
      ),
    feed.judgements === undefined ||
      (isColumn(feed.judgements.kinds, feed.judgements.ids.length, LIVENESS.length) &&
        feed.judgements.silentMs.length === feed.judgements.ids.length),
    feed.departures === undefined ||
      isColumn(feed.departures.kinds, feed.departures.ids.length, DEPARTURES.length),
    feed.transfer === undefined || feed.transfer < FULL_SYNC_STAGES.length,
  ].every(Boolean);
}

function isWholeRecords(packed: PackedRecords): boolean {
  const { ids, names, instances, services, zones } = packed;
  const { length } = ids;
  return (
    instances.length === length * INSTANCE_BYTES &&
    isColumn(services, length, names.length) &&
    isColumn(zones, length, names.length) &&
    isWholeAddresses(packed.addresses, length) &&
    [packed.capacities, packed.warmUps, packed.sequences, packed.ages].every(
      (column) => column.length === length,
    )
  );
}

function isWholeConfig({ listOf, keys, lists, warmUps }: PackedConfig): boolean {
  const { names, ms, perS } = warmUps;
  return (
    isColumn(listOf, keys.length, lists.length + 1) &&
    ms.length === names.length &&
    perS.length === names.length
  );
}

function isWholeAddresses({ hosts, hostOf, ports }: PackedAddresses, length: number): boolean {
  return ports.length === length && isColumn(hostOf, length, hosts.length);
}

/** @returns true where a column has an entry for each row, and each entry names one of `count` things */
function isColumn(column: readonly number[], length: number, count: number): boolean {
  return column.length === length && column.every((entry) => entry < count);
}
