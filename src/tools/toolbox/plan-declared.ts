/**
 * @file What a declared configuration would change against the one in force: routes, services and weights. Pure; used by `plan --declared`.
 */
import type {
  DeclaredConfig,
  DeclaredRoute,
  WeightedTarget,
} from '../../registered/declared/declared-config.js';

/** One route that would change. */
export type RouteChange =
  | { readonly type: 'added'; readonly route: DeclaredRoute }
  /** Its open flows are cut. */
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

/** What a configuration would change. */
export interface DeclaredPlan {
  readonly heldVersion: number | undefined;
  readonly version: number;
  /** False where the version does not exceed the one that holds: it would be acknowledged, and ignored. */
  readonly takesEffect: boolean;
  readonly routes: readonly RouteChange[];
  readonly servicesAdded: readonly string[];
  readonly servicesRemoved: readonly string[];
}

/** Shares closer than this are equal but for rounding. */
const SMALLEST_SHARE = 1e-9;

/**
 * @param held the configuration that holds; undefined for none
 * @returns what would change
 */
export function planDeclared(held: DeclaredConfig | undefined, next: DeclaredConfig): DeclaredPlan {
  const before = new Map((held?.routes ?? []).map((route) => [placeOf(route), route]));
  const after = new Map(next.routes.map((route) => [placeOf(route), route]));
  const removed = [...before.values()].filter((route) => !after.has(placeOf(route)));
  const heldServices = (held?.services ?? []).map(({ name }) => name);
  const nextServices = next.services.map(({ name }) => name);
  return {
    heldVersion: held?.version,
    version: next.version,
    takesEffect: held === undefined || next.version > held.version,
    routes: [
      ...[...after].flatMap(([place, route]) => changeOf(before.get(place), route)),
      ...removed.map((route): RouteChange => ({ type: 'removed', route })),
    ],
    servicesAdded: nextServices.filter((name) => !heldServices.includes(name)),
    servicesRemoved: heldServices.filter((name) => !nextServices.includes(name)),
  };
}

function placeOf({ host, port }: DeclaredRoute): string {
  return `${host}:${port}`;
}

function changeOf(before: DeclaredRoute | undefined, after: DeclaredRoute): RouteChange[] {
  if (before === undefined) {
    return [{ type: 'added', route: after }];
  }
  const movedShare = movedShareOf(before.targets, after.targets);
  const fields = [
    ...(['name', 'kind', 'timeoutMs'] as const).filter((name) => before[name] !== after[name]),
    ...(movedShare > SMALLEST_SHARE ? ['targets'] : []),
  ];
  return fields.length === 0 ? [] : [{ type: 'changed', before, after, fields, movedShare }];
}

/** Half of the sum of differences: what leaves some services arrives at others. */
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
