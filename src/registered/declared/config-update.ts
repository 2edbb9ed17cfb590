/**
 * @file A config update: the changes that lead from one version of a declared configuration to another, or from
 * nothing, with only what balancers need of a route. Changes are in one order on all machines, so that an update whose
 * link breaks goes on where it ended, also from another control machine.
 */
import type {
  DeclaredConfig,
  DeclaredRoute,
  ServiceWarmUp,
  WeightedTarget,
} from './declared-config.js';

/** One route that is new, has other targets, or is dropped. */
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
  /** A flow that is idle for this long may be forgotten, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** All services whose back ends are cold after their start. */
  readonly warmUps: readonly ServiceWarmUp[];
  /** By host and port. */
  readonly changes: readonly RouteChange[];
}

/** Some of the changes of an update, as many as fit into a message. */
export interface ConfigPart extends ConfigUpdate {
  /** How many changes of the update come before these. */
  readonly firstChange: number;
  /** How many changes the whole update has. */
  readonly changeCount: number;
}

/**
 * @returns the update that leads from nothing to a configuration
 */
export function wholeUpdate(config: DeclaredConfig): ConfigUpdate {
  const { version, idleTimeoutMs, routes } = config;
  return {
    version,
    baseVersion: NO_VERSION,
    idleTimeoutMs,
    warmUps: warmUpsOf(config),
    changes: routes.map(asChange).sort(byHostAndPort),
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
    if (known === undefined || !hasSameTargets(known.targets, route.targets)) {
      changes.push(asChange(route));
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
 * @returns one update with the effect of all; undefined for none
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
 * @returns the part of an update from a change on
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

function asChange({ host, port, targets }: DeclaredRoute): RouteChange {
  return { host, port, targets };
}

function keyOfRoute({ host, port }: { readonly host: string; readonly port: number }): string {
  return `${host}:${port}`;
}

/** Any order will do that is the same on all machines. */
function byHostAndPort(one: RouteChange, other: RouteChange): number {
  if (one.host !== other.host) {
    return one.host < other.host ? -1 : 1;
  }
  return one.port - other.port;
}

function hasSameTargets(one: readonly WeightedTarget[], other: readonly WeightedTarget[]): boolean {
  return (
    one.length === other.length &&
    one.every(({ service, weight }, index) => {
      const match = other[index];
      return match?.service === service && match.weight === weight;
    })
  );
}
