/**
 * @file Changes of routes as they travel in a feed. Lists of targets and names of services repeat, so each is written
 * once; host and port are one number, written as the difference from the one before.
 */
import { packHost, unpackHost } from '../../../shared/common/address.js';
import type { ConfigPart, RouteChange } from '../../declared/config-update.js';
import type { ServiceWarmUp, WeightedTarget } from '../../declared/declared-config.js';
import { DROPPED, type PackedConfig } from './packed-feed.js';
import { createNameTable } from './packed-names.js';

/** Places of a port in the number of host and port. */
const PORT_VALUES = 65_536;

/** @returns changes of routes in columns: keys as differences, equal lists of targets once */
export function packConfig(part: ConfigPart): PackedConfig {
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

/** @returns the changes of columns that were checked to be whole */
export function unpackConfig(packed: PackedConfig): ConfigPart {
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

function unpackWarmUps({ names, ms, perS }: PackedConfig['warmUps']): ServiceWarmUp[] {
  return names.map((service, at) => ({
    service,
    warmUpMs: ms[at] ?? 0,
    coldRequestsPerS: perS[at] ?? 0,
  }));
}
