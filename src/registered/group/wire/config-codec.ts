/**
 * @file Packs the route changes of a feed message into columns. Target lists, attributes and service names are deduplicated; host
 * and port are combined into one number and delta-encoded.
 */
import { packHost, unpackHost } from '../../../shared/common/address.js';
import type { ConfigPart, RouteChange } from '../../declared/config-update.js';
import type { ServiceWarmUp, WeightedTarget } from '../../declared/declared-config.js';
import {
  LOWEST_PRIORITY,
  NO_OBJECTIVE_MS,
  type RouteAttributes,
} from '../../declared/route-attributes.js';
import { boundedName } from '../../registry/bounded-name.js';
import { NO_ATTRIBUTES, NO_TARGETS, type PackedConfig } from './packed-feed.js';
import { createNameTable } from './packed-names.js';

const PORT_COUNT = 65_536;

/** @returns route changes in columns: delta-encoded keys, deduplicated target lists */
export function packConfig(part: ConfigPart): PackedConfig {
  const names = createNameTable();
  const lists = createListTable();
  const attributeLists = createListTable();
  let previousKey = 0;
  const keys: number[] = [];
  const listOf: number[] = [];
  const attributesOf: number[] = [];
  for (const { host, port, targets, attributes } of part.changes) {
    const key = Number(packHost(host)) * PORT_COUNT + port;
    keys.push(key - previousKey);
    previousKey = key;
    listOf.push(targets === undefined ? NO_TARGETS : lists.numberOf(listOfTargets(targets)));
    attributesOf.push(
      attributes === undefined
        ? NO_ATTRIBUTES
        : attributeLists.numberOf(listOfAttributes(attributes)),
    );
  }
  return {
    version: part.version,
    base: part.baseVersion,
    idleMs: part.idleTimeoutMs,
    first: part.firstChange,
    count: part.changeCount,
    keys,
    names: names.names(),
    lists: lists.lists(),
    listOf,
    ...(part.listsAttributes === true && { listsAttributes: true }),
    ...(attributeLists.lists().length > 0 && {
      attributes: attributeLists.lists(),
      attributesOf,
    }),
    warmUps: packWarmUps(part.warmUps),
  };

  function listOfTargets(targets: readonly WeightedTarget[]): number[] {
    return targets.flatMap(({ service, weight }) => [names.numberOf(service), weight]);
  }
}

/** Distinct lists of numbers, numbered from 1. */
function createListTable() {
  const entries = new Map<string, { readonly list: number[]; readonly number: number }>();
  return { numberOf, lists: () => [...entries.values()].map(({ list }) => list) };

  function numberOf(list: number[]): number {
    const text = list.join(' ');
    const entry = entries.get(text) ?? { list, number: entries.size + 1 };
    entries.set(text, entry);
    return entry.number;
  }
}

function listOfAttributes(attributes: RouteAttributes): number[] {
  return [attributes.priority, attributes.latencyObjectiveMs];
}

function packWarmUps(services: readonly ServiceWarmUp[]): PackedConfig['warmUps'] {
  return {
    names: services.map(({ service }) => service),
    ms: services.map(({ warmUpMs }) => warmUpMs),
    perS: services.map(({ coldRequestsPerS }) => coldRequestsPerS),
  };
}

/** Unpacks validated columns. Older senders don't shorten names; back ends are known by short ones all the same. */
export function unpackConfig(packed: PackedConfig): ConfigPart {
  const { version, base, idleMs, first, count, keys, lists, listOf, warmUps } = packed;
  const names = packed.names.map(boundedName);
  const targetLists = lists.map((list) => {
    const targets: WeightedTarget[] = [];
    for (let index = 0; index + 1 < list.length; index += 2) {
      targets.push({ service: names[list[index] ?? 0] ?? '', weight: list[index + 1] ?? 0 });
    }
    return targets;
  });
  const attributes = (packed.attributes ?? []).map(attributesOfList);
  let key = 0;
  const changes = keys.map((difference, row): RouteChange => {
    key += difference;
    const port = key % PORT_COUNT;
    const targets = targetLists[(listOf[row] ?? NO_TARGETS) - 1];
    const host = unpackHost((key - port) / PORT_COUNT);
    const ofRoute = attributes[(packed.attributesOf?.[row] ?? NO_ATTRIBUTES) - 1];
    return { host, port, targets, ...(ofRoute && { attributes: ofRoute }) };
  });
  return {
    version,
    baseVersion: base,
    idleTimeoutMs: idleMs,
    warmUps: unpackWarmUps(warmUps),
    ...(packed.listsAttributes === true && { listsAttributes: true }),
    changes,
    firstChange: first,
    changeCount: count,
  };
}

function attributesOfList(list: readonly number[]): RouteAttributes {
  const [priority = LOWEST_PRIORITY, latencyObjectiveMs = NO_OBJECTIVE_MS] = list;
  return { priority, latencyObjectiveMs };
}

function unpackWarmUps({ names, ms, perS }: PackedConfig['warmUps']): ServiceWarmUp[] {
  return names.map((service, row) => ({
    service: boundedName(service),
    warmUpMs: ms[row] ?? 0,
    coldRequestsPerS: perS[row] ?? 0,
  }));
}
