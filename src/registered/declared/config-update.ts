/**
 * @file A configuration as balancers take it: what they need of each route, as the changes that lead from
 * one version to another, or from nothing. Changes are in one order that all processes agree on, so that a
 * transfer that breaks can go on where it ended, also from another sender.
 */
import type {
  DeclaredConfig,
  DeclaredRoute,
  ServiceWarmUp,
  WeightedTarget,
} from './declared-config.js';

/** One route that is new, goes elsewhere, or is dropped. */
export interface RouteChange {
  /** IPv4 number as text. */
  readonly host: string;
  readonly port: number;
  /** Where its flows go; undefined where the route is dropped. */
  readonly targets: readonly WeightedTarget[] | undefined;
}

/** The version that stands for no configuration at all. */
export const NO_VERSION = 0;

/** The changes from one version to another. */
export interface ConfigUpdate {
  readonly version: number;
  /** The version that the changes are made to; `NO_VERSION` for all routes. */
  readonly baseVersion: number;
  /** A flow that has rested for this long may be forgotten, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** All services whose back ends are cold after their start. */
  readonly warmUps: readonly ServiceWarmUp[];
  /** By host and port. */
  readonly changes: readonly RouteChange[];
}

/** Some of the changes of an update. */
export interface ConfigPart extends ConfigUpdate {
  /** How many changes of the update come before these. */
  readonly firstChange: number;
  /** How many changes the whole update has. */
  readonly changeCount: number;
}

/**
 * @returns the update that says all of a configuration
 */
export function wholeUpdate(config: DeclaredConfig): ConfigUpdate {
  const { version, idleTimeoutMs, routes } = config;
  return {
    version,
    baseVersion: NO_VERSION,
    idleTimeoutMs,
    warmUps: warmUpsOf(config),
    changes: routes.map(changeTo).sort(byHostAndPort),
  };
}

/**
 * @returns the update that leads from one configuration to a newer one
 */
export function updateBetween(base: DeclaredConfig, next: DeclaredConfig): ConfigUpdate {
  const before = new Map(base.routes.map((route) => [keyOfRoute(route), route]));
  const changes: RouteChange[] = [];
  for (const route of next.routes) {
    const known = before.get(keyOfRoute(route));
    before.delete(keyOfRoute(route));
    if (known === undefined || !isSameTargets(known.targets, route.targets)) {
      changes.push(changeTo(route));
    }
  }
  for (const { host, port } of before.values()) {
    changes.push({ host, port, targets: undefined });
  }
  const { version, idleTimeoutMs } = next;
  const sorted = changes.sort(byHostAndPort);
  const warmUps = warmUpsOf(next);
  return { version, baseVersion: base.version, idleTimeoutMs, warmUps, changes: sorted };
}

/**
 * @param updates each made to the version that the one before leads to
 * @returns one update with the outcome of all; undefined for none
 */
export function joinUpdates(updates: readonly ConfigUpdate[]): ConfigUpdate | undefined {
  const [first] = updates;
  const last = updates.at(-1);
  if (first === undefined || last === undefined || updates.length === 1) {
    return first;
  }
  const byKey = new Map<string, RouteChange>();
  for (const change of updates.flatMap(({ changes }) => changes)) {
    byKey.set(keyOfRoute(change), change);
  }
  const changes = [...byKey.values()].sort(byHostAndPort);
  return { ...last, baseVersion: first.baseVersion, changes };
}

/**
 * @param count at most so many changes
 * @returns the part of an update that begins with a change
 */
export function partOf(update: ConfigUpdate, firstChange: number, count: number): ConfigPart {
  return {
    ...update,
    changes: update.changes.slice(firstChange, firstChange + count),
    firstChange,
    changeCount: update.changes.length,
  };
}

function warmUpsOf({ services }: DeclaredConfig): ServiceWarmUp[] {
  return services.flatMap(({ name, warmUpMs = 0, coldRequestsPerS = 0 }) =>
    warmUpMs > 0 ? [{ service: name, warmUpMs, coldRequestsPerS }] : [],
  );
}

function changeTo({ host, port, targets }: DeclaredRoute): RouteChange {
  return { host, port, targets };
}

function keyOfRoute({ host, port }: { readonly host: string; readonly port: number }): string {
  return `${host}:${port}`;
}

/** Any order will do, as long as it is the same everywhere. */
function byHostAndPort(one: RouteChange, other: RouteChange): number {
  if (one.host !== other.host) {
    return one.host < other.host ? -1 : 1;
  }
  return one.port - other.port;
}

function isSameTargets(one: readonly WeightedTarget[], other: readonly WeightedTarget[]): boolean {
  return (
    one.length === other.length &&
    one.every(({ service, weight }, index) => {
      const match = other[index];
      return match?.service === service && match.weight === weight;
    })
  );
}
