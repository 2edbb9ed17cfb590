/**
 * @file The form in which feeds travel: columns in place of named fields, names that repeat written once,
 * sorted numbers as differences. A whole state takes a sixth of what the messages take field by field, which
 * is what decides how long a link of a few megabits needs for it.
 */
import { packHost, unpackHost, type Address } from '../../shared/common/address.js';
import type { ConfigPart, RouteChange } from '../declared/config-update.js';
import type { WeightedTarget } from '../declared/declared-config.js';
import type { ServiceWarmUp } from '../declared/declared-config.js';
import type {
  AgedRecord,
  BalancerInfo,
  ControlInfo,
  FeedMessage,
  ZoneUpdate,
} from './group-messages.js';
import {
  DEPARTURES,
  DROPPED,
  INSTANCE_BYTES,
  LIVENESS,
  NOT_SEEN,
  parsePackedFeed,
  TRANSFERS,
  type PackedAddresses,
  type PackedBalancers,
  type PackedConfig,
  type PackedControls,
  type PackedFeed,
  type PackedRecords,
  type PackedZones,
} from './packed-feed.js';

const PORT_VALUES = 65_536;

/** @returns the form in which a message travels */
export function packFeed(message: FeedMessage): PackedFeed {
  const { records, balancers, controls, zones, config, transfer, lostBalancers } = message;
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
    ...(zones && { zones: packZones(zones) }),
    ...(config && { config: packConfig(config) }),
    ...(message.loads && { loads: [...message.loads] }),
    ...(message.signals && { signals: [...message.signals] }),
  };
}

/**
 * @returns the message that travelled, or undefined where the value is none; never throws
 */
export function unpackFeed(value: unknown): FeedMessage | undefined {
  const packed = parsePackedFeed(value);
  if (packed === undefined) {
    return undefined;
  }
  const { isCurrent, isComplete, isCounted, loads: packedLoads, lost } = packed;
  const { records, judgements: judged, departures: left, balancers, controls } = packed;
  const { transfer, config, zones, signals } = packed;
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
        liveness: LIVENESS[judged.kinds[at] ?? 0] ?? 'alive',
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
    ...(zones && { zones: unpackZones(zones) }),
    ...(config && { config: unpackConfig(config) }),
    ...(packedLoads && { loads: packedLoads }),
    ...(signals && { signals }),
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
}: PackedBalancers): BalancerInfo[] {
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

function unpackControls({ names, zones, addresses: packed }: PackedControls) {
  return zones.map((number, at): ControlInfo => {
    const zone = names[number] ?? '';
    return { linkAddress: addressAt(packed, at), ...(zone !== '' && { zone }) };
  });
}

function packZones(all: readonly ZoneUpdate[]): PackedZones {
  return {
    names: all.map(({ zone }) => zone),
    areEvacuated: all.map(({ isEvacuated }) => isEvacuated),
    orders: all.map(({ orders }) => orders),
    readmittedAgo: all.map(({ readmittedAgoMs }) => readmittedAgoMs ?? NOT_SEEN),
  };
}

function unpackZones({ names, areEvacuated, orders, readmittedAgo }: PackedZones): ZoneUpdate[] {
  return names.map((zone, at) => {
    const agoMs = readmittedAgo[at] ?? NOT_SEEN;
    return {
      zone,
      isEvacuated: areEvacuated[at] ?? false,
      orders: orders[at] ?? 0,
      ...(agoMs >= 0 && { readmittedAgoMs: agoMs }),
    };
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
    warmUps: packWarmUps(part.warmUps),
  };

  function listNumber(targets: readonly WeightedTarget[]): number {
    const list = targets.flatMap(({ service, weight }) => [names.numberOf(service), weight]);
    const text = list.join(' ');
    const known = lists.get(text) ?? { list, number: lists.size + 1 };
    lists.set(text, known);
    return known.number;
  }
}

function packWarmUps(all: readonly ServiceWarmUp[]): PackedConfig['warmUps'] {
  return {
    names: all.map(({ service }) => service),
    ms: all.map(({ warmUpMs }) => warmUpMs),
    perS: all.map(({ coldRequestsPerS }) => coldRequestsPerS),
  };
}

function unpackWarmUps({ names, ms, perS }: PackedConfig['warmUps']): ServiceWarmUp[] {
  return names.map((service, at) => ({
    service,
    warmUpMs: ms[at] ?? 0,
    coldRequestsPerS: perS[at] ?? 0,
  }));
}

function unpackConfig(packed: PackedConfig): ConfigPart {
  const { version, base, idleMs, first, count, keys, names, lists, listOf, warmUps } = packed;
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
    warmUps: unpackWarmUps(warmUps),
    changes,
    firstChange: first,
    changeCount: count,
  };
}
