/**
 * @file Config updates: deltas between two versions of a declared configuration, or full updates, with only the route
 * data that balancers need. All control machines derive the same changes in the same order, so that an update can be
 * resumed from another machine after its link breaks.
 */
import type {
  DeclaredConfig,
  DeclaredRoute,
  ServiceWarmUp,
  WeightedTarget,
} from './declared-config.js';
import { attributesOf, hasSameAttributes, type RouteAttributes } from './route-attributes.js';

/** A route that is new, changed or removed. */
export interface RouteChange {
  /** IPv4 address. */
  readonly host: string;
  readonly port: number;
  /** Targets of its flows; undefined if the route is removed. */
  readonly targets: readonly WeightedTarget[] | undefined;
  /** Undefined if the route is removed, or if the sender's version does not know attributes. */
  readonly attributes?: RouteAttributes | undefined;
}

/** The version that stands for no configuration. */
export const NO_VERSION = 0;

/** The changes from one version to another. */
export interface ConfigUpdate {
  readonly version: number;
  /** The version that the changes apply to; `NO_VERSION` for a full update. */
  readonly baseVersion: number;
  /** The state of a flow that is idle for this long may be dropped, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** All services with a slow start. */
  readonly warmUps: readonly ServiceWarmUp[];
  /** True if the sender lists changes of attributes; undefined if its version does not know them. */
  readonly listsAttributes?: boolean | undefined;
  /** Sorted by host and port. */
  readonly changes: readonly RouteChange[];
}

/** The part of a route that its changes replace. */
type RouteContent = Pick<RouteChange, 'targets' | 'attributes'>;

/** A delta to the next version that a machine has seen, with the content that it replaced. */
export interface ConfigStep extends ConfigUpdate {
  /** The previous content of each changed route by `host:port`; undefined for a new route. */
  readonly replaced: ReadonlyMap<string, RouteContent | undefined>;
}

/** A slice of the changes of an update that fits into one message. */
export interface ConfigPart extends ConfigUpdate {
  /** Index of the first of these changes in the whole update. */
  readonly firstChange: number;
  /** Number of changes in the whole update. */
  readonly changeCount: number;
}

/** @returns the full update to a configuration, based on `NO_VERSION` */
export function fullUpdate(config: DeclaredConfig): ConfigUpdate {
  const { version, idleTimeoutMs, routes } = config;
  return {
    version,
    baseVersion: NO_VERSION,
    idleTimeoutMs,
    warmUps: warmUpsOf(config),
    listsAttributes: true,
    changes: routes.map(toRouteChange).sort(byHostAndPort),
  };
}

/** @returns the delta from one configuration to a newer one */
export function updateBetween(base: DeclaredConfig, next: DeclaredConfig): ConfigStep {
  const before = new Map(base.routes.map((route) => [routeKey(route), toRouteChange(route)]));
  const replaced = new Map<string, RouteContent | undefined>();
  const changes: RouteChange[] = [];
  for (const route of next.routes) {
    const key = routeKey(route);
    const known = before.get(key);
    before.delete(key);
    const change = toRouteChange(route);
    if (!hasSameContent(known, change)) {
      changes.push(change);
      replaced.set(key, known);
    }
  }
  for (const [key, known] of before) {
    changes.push({ host: known.host, port: known.port, targets: undefined });
    replaced.set(key, known);
  }
  const { version, idleTimeoutMs } = next;
  return {
    version,
    baseVersion: base.version,
    idleTimeoutMs,
    warmUps: warmUpsOf(next),
    listsAttributes: true,
    changes: changes.sort(byHostAndPort),
    replaced,
  };
}

/**
 * @param steps consecutive, each based on the version of the previous one
 * @returns one update with the effect of all, without routes that end up unchanged; undefined if there are no steps
 */
export function mergeSteps(steps: readonly ConfigStep[]): ConfigUpdate | undefined {
  const [first] = steps;
  const last = steps.at(-1);
  if (first === undefined || last === undefined) {
    return undefined;
  }
  const replaced = new Map(steps.toReversed().flatMap((step) => [...step.replaced]));
  const latest = new Map<string, RouteChange>();
  for (const change of steps.flatMap(({ changes }) => changes)) {
    latest.set(routeKey(change), change);
  }
  const changes = [...latest.values()]
    .filter((change) => !hasSameContent(replaced.get(routeKey(change)), change))
    .sort(byHostAndPort);
  const { version, idleTimeoutMs, warmUps, listsAttributes } = last;
  const { baseVersion } = first;
  return { version, baseVersion, idleTimeoutMs, warmUps, listsAttributes, changes };
}

/**
 * @param firstChange index of the first change
 * @param count maximum number of changes
 * @returns that part of the update; receivers use the slow starts of the last part, so the others have none
 */
export function partOf(update: ConfigUpdate, firstChange: number, count: number): ConfigPart {
  const changeCount = update.changes.length;
  return {
    ...update,
    warmUps: firstChange + count < changeCount ? [] : update.warmUps,
    changes: update.changes.slice(firstChange, firstChange + count),
    firstChange,
    changeCount,
  };
}

/**
 * About 8 KB, so that a link of 2 Mbit/s carries the message well within the timeout of a silent feed (timing.ts).
 */
const MAX_ROUTE_CHANGES_PER_MESSAGE = 1_000;
/** Characters of service names with one more for each, before equal ones are sent only once. */
const MAX_TARGET_CHARACTERS_PER_MESSAGE = 64 * 1024;

/** @returns the next part of an update that fits into one message: at least one change, if there are any */
export function nextPartOf(update: ConfigUpdate, firstChange: number): ConfigPart {
  const { changes } = update;
  const end = Math.min(changes.length, firstChange + MAX_ROUTE_CHANGES_PER_MESSAGE);
  let characters = 0;
  let next = firstChange;
  while (next < end) {
    characters += targetCharactersOf(changes[next]);
    if (characters > MAX_TARGET_CHARACTERS_PER_MESSAGE && next > firstChange) {
      break;
    }
    next += 1;
  }
  return partOf(update, firstChange, next - firstChange);
}

function targetCharactersOf(change: RouteChange | undefined): number {
  let characters = 0;
  for (const { service } of change?.targets ?? []) {
    characters += service.length + 1;
  }
  return characters;
}

/** @returns the services with a slow start */
export function warmUpsOf({ services }: Pick<DeclaredConfig, 'services'>): ServiceWarmUp[] {
  return services.flatMap(({ name, warmUpMs = 0, coldRequestsPerS = 0 }) =>
    warmUpMs > 0 ? [{ service: name, warmUpMs, coldRequestsPerS }] : [],
  );
}

function toRouteChange(route: DeclaredRoute): RouteChange {
  const { host, port, targets } = route;
  return { host, port, targets, attributes: attributesOf(route) };
}

function routeKey({ host, port }: { readonly host: string; readonly port: number }): string {
  return `${host}:${port}`;
}

/** The order itself does not matter, but must be the same on all machines. */
function byHostAndPort(one: RouteChange, other: RouteChange): number {
  if (one.host !== other.host) {
    return one.host < other.host ? -1 : 1;
  }
  return one.port - other.port;
}

function hasSameContent(one: RouteContent | undefined, other: RouteContent): boolean {
  return (
    hasSameTargets(one?.targets, other.targets) &&
    hasSameAttributes(one?.attributes, other.attributes)
  );
}

/** `undefined` means that there is no route. */
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
