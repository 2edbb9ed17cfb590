/**
 * @file The form in which feeds travel: columns in place of named fields, names that repeat written once,
 * sorted numbers as differences. A whole state takes a sixth of what the messages take field by field, which
 * is what decides how long a link of a few megabits needs for it.
 */
import * as z from 'zod/mini';
import { packHost, unpackHost, type Address } from '../common/address.js';
import { indexShape as index, textShape as text } from '../consensus/message-shapes.js';
import type { ConfigPart, RouteChange } from '../declared/config-update.js';
import type { WeightedTarget } from '../declared/declared-config.js';
import { NUMBERS_PER_LOAD } from '../load-exchange/backend-load.js';
import type { Liveness } from '../registry/backend-liveness.js';
import type { DepartureKind } from '../registry/backend-record.js';
import type {
  AgedRecord,
  BalancerInfo,
  ControlInfo,
  FeedMessage,
  FeedTransfer,
} from './group-messages.js';

/** Room for the largest fleet in one message, against senders that went astray. */
const MAX_ITEMS = 50_000;
const PORT_VALUES = 65_536;
const INSTANCE_BYTES = 8;
/** Stands for a route that is dropped, in the column of target lists. */
const DROPPED = 0;
const LIVENESS: readonly Liveness[] = ['heard', 'silent', 'dead'];
const DEPARTURES: readonly DepartureKind[] = ['draining', 'gone'];
const TRANSFERS: readonly FeedTransfer[] = ['begins', 'goes-on', 'ends', 'whole'];

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
});
const loads = z.array(index).check(
  z.maxLength(MAX_ITEMS),
  z.refine((packed) => packed.length % NUMBERS_PER_LOAD === 0, 'An entry is cut short.'),
);
const judgements = z.object({ ids: texts, kinds: indexes, silentMs: indexes });
const departures = z.object({ ids: texts, kinds: indexes });

const packedFeed = z.object({
  type: z.literal('feed'),
  isCurrent: z.boolean(),
  isComplete: z.boolean(),
  isCounted: z.boolean(),
  transfer: z.optional(index),
  records: z.optional(packedRecords),
  judgements: z.optional(judgements),
  departures: z.optional(departures),
  balancers: z.optional(packedBalancers),
  lost: z.optional(texts),
  controls: z.optional(packedControls),
  config: z.optional(packedConfig),
  loads: z.optional(loads),
});

/** A feed message as it travels. */
export type PackedFeed = z.infer<typeof packedFeed>;
type PackedRecords = z.infer<typeof packedRecords>;
type PackedAddresses = z.infer<typeof addresses>;
type PackedConfig = z.infer<typeof packedConfig>;

/** @returns the form in which a message travels */
export function packFeed(message: FeedMessage): PackedFeed {
  const { records, balancers, controls, config, transfer, lostBalancers } = message;
  return {
    type: 'feed',
    isCurrent: message.isCurrent,
    isComplete: message.isComplete,
    isCounted: message.isCounted,
    ...(transfer && { transfer: TRANSFERS.indexOf(transfer) }),
    ...(records && { records: packRecords(records) }),
    ...(message.judgements && {
      judgements: {
        ids: message.judgements.map(({ backendId }) => backendId),
        kinds: message.judgements.map(({ liveness }) => LIVENESS.indexOf(liveness)),
        silentMs: message.judgements.map(({ silentMs }) => silentMs),
      },
    }),
    ...(message.departures && {
      departures: {
        ids: message.departures.map(({ backendId }) => backendId),
        kinds: message.departures.map(({ kind }) => DEPARTURES.indexOf(kind)),
      },
    }),
    ...(balancers && { balancers: packBalancers(balancers) }),
    ...(lostBalancers && { lost: [...lostBalancers] }),
    ...(controls && { controls: packControls(controls) }),
    ...(config && { config: packConfig(config) }),
    ...(message.loads && { loads: [...message.loads] }),
  };
}

/**
 * @returns the message that travelled, or undefined where the value is none; never throws
 */
export function unpackFeed(value: unknown): FeedMessage | undefined {
  const parsed = packedFeed.safeParse(value);
  if (!parsed.success || !hasEqualColumns(parsed.data)) {
    return undefined;
  }
  const { isCurrent, isComplete, isCounted, loads: packedLoads, lost } = parsed.data;
  const { records, judgements: judged, departures: left, balancers, controls } = parsed.data;
  const { transfer, config } = parsed.data;
  const message: FeedMessage = {
    type: 'feed',
    isCurrent,
    isComplete,
    isCounted,
    ...(transfer !== undefined && { transfer: TRANSFERS[transfer] ?? 'whole' }),
    ...(records && { records: unpackRecords(records) }),
    ...(judged && {
      judgements: judged.ids.map((backendId, at) => ({
        backendId,
        liveness: LIVENESS[judged.kinds[at] ?? 0] ?? 'heard',
        silentMs: judged.silentMs[at] ?? 0,
      })),
    }),
    ...(left && {
      departures: left.ids.map((backendId, at) => ({
        backendId,
        kind: DEPARTURES[left.kinds[at] ?? 0] ?? 'gone',
      })),
    }),
    ...(balancers && { balancers: unpackBalancers(balancers) }),
    ...(lost && { lostBalancers: lost }),
    ...(controls && { controls: unpackControls(controls) }),
    ...(config && { config: unpackConfig(config) }),
    ...(packedLoads && { loads: packedLoads }),
  };
  return message;
}

/** Numbers texts that repeat, in the order in which they come. */
function createNameTable() {
  const numbersByName = new Map<string, number>();
  return { numberOf, names: () => [...numbersByName.keys()] };

  function numberOf(name: string): number {
    const known = numbersByName.get(name) ?? numbersByName.size;
    numbersByName.set(name, known);
    return known;
  }
}

function packAddresses(all: readonly Address[]): PackedAddresses {
  const hosts = createNameTable();
  const hostOf = all.map(({ host }) => hosts.numberOf(host));
  return { hosts: hosts.names(), hostOf, ports: all.map(({ port }) => port) };
}

function addressAt({ hosts, hostOf, ports }: PackedAddresses, at: number): Address {
  return { host: hosts[hostOf[at] ?? 0] ?? '', port: ports[at] ?? 0 };
}

function packRecords(aged: readonly AgedRecord[]): PackedRecords {
  const names = createNameTable();
  const all = aged.map(({ record }) => record);
  return {
    ids: all.map(({ id }) => id),
    instances: Buffer.from(all.map(({ instanceNumber }) => instanceNumber).join(''), 'hex'),
    services: all.map(({ service }) => names.numberOf(service)),
    zones: all.map(({ zone }) => names.numberOf(zone)),
    names: names.names(),
    addresses: packAddresses(all.map(({ address }) => address)),
    capacities: all.map(({ capacity }) => capacity),
    warmUps: all.map(({ warmUpLeftMs }) => warmUpLeftMs),
    sequences: all.map(({ sequence }) => sequence),
    ages: aged.map(({ ageMs }) => ageMs),
  };
}

function unpackRecords(packed: PackedRecords): AgedRecord[] {
  const { ids, names, services, zones, instances } = packed;
  const digits = Buffer.from(instances).toString('hex');
  return ids.map((id, at) => ({
    record: {
      id,
      instanceNumber: digits.slice(2 * INSTANCE_BYTES * at, 2 * INSTANCE_BYTES * (at + 1)),
      service: names[services[at] ?? 0] ?? '',
      address: addressAt(packed.addresses, at),
      zone: names[zones[at] ?? 0] ?? '',
      capacity: packed.capacities[at] ?? 0,
      warmUpLeftMs: packed.warmUps[at] ?? 0,
      sequence: packed.sequences[at] ?? 0,
    },
    ageMs: packed.ages[at] ?? 0,
  }));
}

function packBalancers(all: readonly BalancerInfo[]) {
  const names = createNameTable();
  const zones = all.map(({ zone }) => names.numberOf(zone));
  return {
    ids: all.map(({ name }) => name),
    names: names.names(),
    zones,
    addresses: packAddresses(all.map(({ peerAddress }) => peerAddress)),
  };
}

function unpackBalancers({
  ids,
  names,
  zones,
  addresses: packed,
}: z.infer<typeof packedBalancers>): BalancerInfo[] {
  return ids.map((name, at) => ({
    name,
    zone: names[zones[at] ?? 0] ?? '',
    peerAddress: addressAt(packed, at),
  }));
}

function packControls(all: readonly ControlInfo[]) {
  const names = createNameTable();
  const zones = all.map(({ zone }) => names.numberOf(zone ?? ''));
  const linkAddresses = all.map(({ linkAddress }) => linkAddress);
  return { names: names.names(), zones, addresses: packAddresses(linkAddresses) };
}

function unpackControls({ names, zones, addresses: packed }: z.infer<typeof packedControls>) {
  return zones.map((number, at): ControlInfo => {
    const zone = names[number] ?? '';
    return { linkAddress: addressAt(packed, at), ...(zone !== '' && { zone }) };
  });
}

function packConfig(part: ConfigPart): PackedConfig {
  const names = createNameTable();
  const lists = new Map<string, { readonly list: number[]; readonly number: number }>();
  let before = 0;
  const keys: number[] = [];
  const listOf: number[] = [];
  for (const { host, port, targets } of part.changes) {
    const key = Number(packHost(host)) * PORT_VALUES + port;
    keys.push(key - before);
    before = key;
    listOf.push(targets === undefined ? DROPPED : listNumber(targets));
  }
  return {
    version: part.version,
    base: part.baseVersion,
    idleMs: part.idleTimeoutMs,
    first: part.firstChange,
    count: part.changeCount,
    keys,
    names: names.names(),
    lists: [...lists.values()].map(({ list }) => list),
    listOf,
  };

  function listNumber(targets: readonly WeightedTarget[]): number {
    const list = targets.flatMap(({ service, weight }) => [names.numberOf(service), weight]);
    const text = list.join(' ');
    const known = lists.get(text) ?? { list, number: lists.size + 1 };
    lists.set(text, known);
    return known.number;
  }
}

function unpackConfig(packed: PackedConfig): ConfigPart {
  const { version, base, idleMs, first, count, keys, names, lists, listOf } = packed;
  const targetLists = lists.map((list) => {
    const targets: WeightedTarget[] = [];
    for (let at = 0; at + 1 < list.length; at += 2) {
      targets.push({ service: names[list[at] ?? 0] ?? '', weight: list[at + 1] ?? 0 });
    }
    return targets;
  });
  let key = 0;
  const changes = keys.map((difference, at): RouteChange => {
    key += difference;
    const port = key % PORT_VALUES;
    const targets = targetLists[(listOf[at] ?? DROPPED) - 1];
    return { host: unpackHost((key - port) / PORT_VALUES), port, targets };
  });
  return {
    version,
    baseVersion: base,
    idleTimeoutMs: idleMs,
    changes,
    firstChange: first,
    changeCount: count,
  };
}

/** Each column of a table must say as much as the others, and name only what is there. */
function hasEqualColumns(feed: PackedFeed): boolean {
  const { records, balancers, controls, config } = feed;
  return [
    records === undefined || isWholeRecords(records),
    balancers === undefined ||
      (isWholeAddresses(balancers.addresses, balancers.ids.length) &&
        isColumn(balancers.zones, balancers.ids.length, balancers.names.length)),
    controls === undefined ||
      (isWholeAddresses(controls.addresses, controls.zones.length) &&
        isColumn(controls.zones, controls.zones.length, controls.names.length)),
    config === undefined || isColumn(config.listOf, config.keys.length, config.lists.length + 1),
    feed.judgements === undefined ||
      (isColumn(feed.judgements.kinds, feed.judgements.ids.length, LIVENESS.length) &&
        feed.judgements.silentMs.length === feed.judgements.ids.length),
    feed.departures === undefined ||
      isColumn(feed.departures.kinds, feed.departures.ids.length, DEPARTURES.length),
    feed.transfer === undefined || feed.transfer < TRANSFERS.length,
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

function isWholeAddresses({ hosts, hostOf, ports }: PackedAddresses, length: number): boolean {
  return ports.length === length && isColumn(hostOf, length, hosts.length);
}

/** @returns true where a column has an entry for each row, and each entry names one of `count` things */
function isColumn(column: readonly number[], length: number, count: number): boolean {
  return column.length === length && column.every((entry) => entry < count);
}
