/**
 * @file Packs the route changes of a feed message into columns. Target lists and service names are deduplicated; host
 * and port are combined into one number and delta-encoded.
 */
import { packHost, unpackHost } from '../../../shared/common/address.js';
import type { ConfigPart, RouteChange } from '../../declared/config-update.js';
import type { ServiceWarmUp, WeightedTarget } from '../../declared/declared-config.js';
import { NO_TARGETS, type PackedConfig } from './packed-feed.js';
import { createNameTable } from './packed-names.js';

const PORT_COUNT = 65_536;

/** @returns route changes in columns: delta-encoded keys, deduplicated target lists */
export function packConfig(part: ConfigPart): PackedConfig {
  const names = createNameTable();
  const lists = new Map<string, { readonly list: number[]; readonly number: number }>();
  let previousKey = 0;
  const keys: number[] = [];
  const listOf: number[] = [];
  for (const { host, port, targets } of part.changes) {
    const key = Number(packHost(host)) * PORT_COUNT + port;
    keys.push(key - previousKey);
    previousKey = key;
    listOf.push(targets === undefined ? NO_TARGETS : numberOfList(targets));
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

  function numberOfList(targets: readonly WeightedTarget[]): number {
    const list = targets.flatMap(({ service, weight }) => [names.numberOf(service), weight]);
    const text = list.join(' ');
    const entry = lists.get(text) ?? { list, number: lists.size + 1 };
    lists.set(text, entry);
    return entry.number;
  }
}

function packWarmUps(services: readonly ServiceWarmUp[]): PackedConfig['warmUps'] {
  return {
    names: services.map(({ service }) => service),
    ms: services.map(({ warmUpMs }) => warmUpMs),
    perS: services.map(({ coldRequestsPerS }) => coldRequestsPerS),
  };
}

/** Unpacks validated columns. */
export function unpackConfig(packed: PackedConfig): ConfigPart {
  const { version, base, idleMs, first, count, keys, names, lists, listOf, warmUps } = packed;
  const targetLists = lists.map((list) => {
    const targets: WeightedTarget[] = [];
    for (let index = 0; index + 1 < list.length; index += 2) {
      targets.push({ service: names[list[index] ?? 0] ?? '', weight: list[index + 1] ?? 0 });
    }
    return targets;
  });
  let key = 0;
  const changes = keys.map((difference, row): RouteChange => {
    key += difference;
    const port = key % PORT_COUNT;
    const targets = targetLists[(listOf[row] ?? NO_TARGETS) - 1];
    return { host: unpackHost((key - port) / PORT_COUNT), port, targets };
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
  return names.map((service, row) => ({
    service,
    warmUpMs: ms[row] ?? 0,
    coldRequestsPerS: perS[row] ?? 0,
  }));
}
