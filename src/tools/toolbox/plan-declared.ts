/**
 * @file Compares a declared configuration with the one in force: changes of routes, services and weights.
 */
import type {
  DeclaredConfig,
  DeclaredRoute,
  WeightedTarget,
} from '../../registered/declared/declared-config.js';

/** Change of one route. */
export type RouteChange =
  | { readonly type: 'added'; readonly route: DeclaredRoute }
  /** Its open flows are reset. */
  | { readonly type: 'removed'; readonly route: DeclaredRoute }
  | {
      readonly type: 'changed';
      readonly before: DeclaredRoute;
      readonly after: DeclaredRoute;
      /** Names of the fields that differ. */
      readonly fields: readonly string[];
      /** Share of new flows that would go to another service, 0 to 1. */
      readonly movedShare: number;
    };

/** Changes that a configuration would make. */
export interface DeclaredPlan {
  readonly heldVersion: number | undefined;
  readonly version: number;
  /** False if the version is not higher than the one in force: it would be acknowledged and ignored. */
  readonly takesEffect: boolean;
  readonly routes: readonly RouteChange[];
  readonly servicesAdded: readonly string[];
  readonly servicesRemoved: readonly string[];
}

/** Fields that are compared by value. */
const COMPARED_FIELDS = ['name', 'kind', 'timeoutMs', 'priority', 'latencyObjectiveMs'] as const;
/** Tolerance for rounding errors. */
const SHARE_EPSILON = 1e-9;

/**
 * @param current the configuration in force; undefined if there is none
 * @returns the changes that `next` would make
 */
export function planDeclared(
  current: DeclaredConfig | undefined,
  next: DeclaredConfig,
): DeclaredPlan {
  const before = new Map((current?.routes ?? []).map((route) => [routeKey(route), route]));
  const after = new Map(next.routes.map((route) => [routeKey(route), route]));
  const removed = [...before.values()].filter((route) => !after.has(routeKey(route)));
  const heldServices = (current?.services ?? []).map(({ name }) => name);
  const nextServices = next.services.map(({ name }) => name);
  return {
    heldVersion: current?.version,
    version: next.version,
    takesEffect: current === undefined || next.version > current.version,
    routes: [
      ...[...after].flatMap(([key, route]) => changeOf(before.get(key), route)),
      ...removed.map((route): RouteChange => ({ type: 'removed', route })),
    ],
    servicesAdded: nextServices.filter((name) => !heldServices.includes(name)),
    servicesRemoved: heldServices.filter((name) => !nextServices.includes(name)),
  };
}

function routeKey({ host, port }: DeclaredRoute): string {
  return `${host}:${port}`;
}

function changeOf(before: DeclaredRoute | undefined, after: DeclaredRoute): RouteChange[] {
  if (before === undefined) {
    return [{ type: 'added', route: after }];
  }
  const movedShare = movedShareOf(before.targets, after.targets);
  const fields = [
    ...COMPARED_FIELDS.filter((name) => before[name] !== after[name]),
    ...(movedShare > SHARE_EPSILON ? ['targets'] : []),
  ];
  return fields.length === 0 ? [] : [{ type: 'changed', before, after, fields, movedShare }];
}

/** Half the sum of absolute differences, since each moved share is counted at both services. */
function movedShareOf(before: readonly WeightedTarget[], after: readonly WeightedTarget[]): number {
  const sharesBefore = sharesOf(before);
  const sharesAfter = sharesOf(after);
  const services = new Set([...sharesBefore.keys(), ...sharesAfter.keys()]);
  let difference = 0;
  for (const service of services) {
    difference += Math.abs((sharesAfter.get(service) ?? 0) - (sharesBefore.get(service) ?? 0));
  }
  return difference / 2;
}

function sharesOf(targets: readonly WeightedTarget[]): Map<string, number> {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  const shares = new Map<string, number>();
  for (const { service, weight } of targets) {
    shares.set(service, (shares.get(service) ?? 0) + weight / total);
  }
  return shares;
}
