/**
 * @file The routes in force at a balancer: which service the next flow of a route goes to, so that the
 * flows keep the weights of the route.
 */
import { packHost } from '../../shared/common/address.js';
import { NO_VERSION, type ConfigUpdate } from '../declared/config-update.js';
import type { ServiceWarmUp, WeightedTarget } from '../declared/declared-config.js';
import { routeKey, type RouteKey } from './packet-view.js';

interface WeightedShare {
  readonly service: string;
  readonly weight: number;
  /** What the share is owed; the one that is owed most comes next. */
  credit: number;
}

interface RouteEntry {
  readonly shares: WeightedShare[];
  readonly totalWeight: number;
}

/** The configuration in force. */
export interface ConfigInForce {
  readonly version: number;
  /** A flow that has rested for this long may be forgotten, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** How the back ends of services warm up, by service. */
  readonly warmUps: ReadonlyMap<string, ServiceWarmUp>;
}

/** What became of an update. */
export type UpdateOutcome =
  | 'applied'
  /** What is held is as new. */
  | 'known'
  /** It is made to another version than the one that is held. */
  | 'unfit';

/** Routes by address and port. */
export class RouteTable {
  private routes = new Map<RouteKey, RouteEntry>();
  private held: ConfigInForce | undefined;

  /** The configuration in force here. */
  get config(): ConfigInForce | undefined {
    return this.held;
  }

  /** How many routes there are. */
  get size(): number {
    return this.routes.size;
  }

  /** Puts an update of the configuration in force; an older one never follows a newer one. */
  applyUpdate({
    version,
    baseVersion,
    idleTimeoutMs,
    warmUps,
    changes,
  }: ConfigUpdate): UpdateOutcome {
    const heldVersion = this.held?.version ?? NO_VERSION;
    if (version <= heldVersion) {
      return 'known';
    }
    if (baseVersion !== NO_VERSION && baseVersion !== heldVersion) {
      return 'unfit';
    }
    const before = this.routes;
    this.routes = baseVersion === NO_VERSION ? new Map<RouteKey, RouteEntry>() : before;
    for (const { host, port, targets } of changes) {
      const key = routeKey(Number(packHost(host)), port);
      if (targets === undefined) {
        this.routes.delete(key);
      } else {
        this.routes.set(key, keptOrNew(before.get(key), targets));
      }
    }
    const byService = new Map(warmUps.map((warmUp) => [warmUp.service, warmUp]));
    this.held = { version, idleTimeoutMs, warmUps: byService };
    return 'applied';
  }

  has(host: number, port: number): boolean {
    return this.routes.has(routeKey(host, port));
  }

  /** @returns the service that the next flow of a route goes to; undefined where there is no route */
  nextService(host: number, port: number): string | undefined {
    const entry = this.routes.get(routeKey(host, port));
    if (entry === undefined) {
      return undefined;
    }
    let next: WeightedShare | undefined;
    for (const share of entry.shares) {
      share.credit += share.weight;
      next = next === undefined || share.credit > next.credit ? share : next;
    }
    if (next !== undefined) {
      next.credit -= entry.totalWeight;
    }
    return next?.service;
  }
}

/** A route whose targets did not change goes on where it was. */
function keptOrNew(
  before: RouteEntry | undefined,
  allTargets: readonly WeightedTarget[],
): RouteEntry {
  const targets = allTargets.filter(({ weight }) => weight > 0);
  const isSame =
    before?.shares.length === targets.length &&
    targets.every(({ service, weight }, index) => {
      const share = before.shares[index];
      return share?.service === service && share.weight === weight;
    });
  if (isSame) {
    return before;
  }
  return {
    shares: targets.map(({ service, weight }) => ({ service, weight, credit: 0 })),
    totalWeight: targets.reduce((sum, { weight }) => sum + weight, 0),
  };
}
