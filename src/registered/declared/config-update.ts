/**
 * @file A config update: the changes that lead from one version of a declared configuration to another, or from
 * nothing, with only what balancers need of a route. Between two versions all machines have the same changes in the same
 * order, also those that took over a snapshot and so skipped versions in between: an update whose link breaks goes on
 * where it ended, also from another control machine.
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

/** The changes from one version to the next one that a machine has seen, and what they replaced. */
export interface ConfigStep extends ConfigUpdate {
  /** The targets of each changed route before, by `host:port`; undefined where there was no such route. */
  readonly replaced: ReadonlyMap<string, readonly WeightedTarget[] | undefined>;
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
 * @returns the step that leads from one configuration to a newer one
 */
export function updateBetween(base: DeclaredConfig, next: DeclaredConfig): ConfigStep {
  const before = new Map(base.routes.map((route) => [keyOfRoute(route), route]));
  const replaced = new Map<string, readonly WeightedTarget[] | undefined>();
  const changes: RouteChange[] = [];
  for (const route of next.routes) {
    const key = keyOfRoute(route);
    const known = before.get(key);
    before.delete(key);
    if (!hasSameTargets(known?.targets, route.targets)) {
      changes.push(asChange(route));
      replaced.set(key, known?.targets);
    }
  }
  for (const [key, { host, port, targets }] of before) {
    changes.push({ host, port, targets: undefined });
    replaced.set(key, targets);
  }
  const { version, idleTimeoutMs } = next;
  const sorted = changes.sort(byHostAndPort);
  const warmUps = warmUpsOf(next);
  return { version, baseVersion: base.version, idleTimeoutMs, warmUps, changes: sorted, replaced };
}

/**
 * @param steps each made to the version that the one before leads to
 * @returns one update with the effect of all, without routes that are in the end what they were; undefined for no step
 */
export function joinUpdates(steps: readonly ConfigStep[]): ConfigUpdate | undefined {
  const [first] = steps;
  const last = steps.at(-1);
  if (first === undefined || last === undefined) {
    return undefined;
  }
  const replaced = new Map(steps.toReversed().flatMap((step) => [...step.replaced]));
  const latest = new Map<string, RouteChange>();
  for (const change of steps.flatMap(({ changes }) => changes)) {
    latest.set(keyOfRoute(change), change);
  }
  const changes = [...latest.values()]
    .filter((change) => !hasSameTargets(replaced.get(keyOfRoute(change)), change.targets))
    .sort(byHostAndPort);
  const { version, idleTimeoutMs, warmUps } = last;
  return { version, baseVersion: first.baseVersion, idleTimeoutMs, warmUps, changes };
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

/** Undefined stands for no route. */
function hasSameTargets(
  one: readonly WeightedTarget[] | undefined,
  other: readonly WeightedTarget[] | undefined,
): boolean {
  if (one === undefined || other === undefined) {
    return one === other;
  }
  return (
    one.length === other.length &&
    one.every(({ service, weight }, index) => {
      const match = other[index];
      return match?.service === service && match.weight === weight;
    })
  );
}
