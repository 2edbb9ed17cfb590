/**
 * @file The configuration in force at a balancer: its version, and which service the next flow of each route goes to.
 * It owns the routes; they change only as a whole update of the configuration is applied.
 */
import { packHost } from '../../shared/common/address.js';
import { NO_VERSION, type ConfigUpdate } from '../declared/config-update.js';
import type { ServiceWarmUp, WeightedTarget } from '../declared/declared-config.js';
import {
  createWeightedRoundRobin,
  type WeightedRoundRobin,
} from '../decisions/weighted-round-robin.js';
import { routeKey, type RouteKey } from './packet-view.js';

/** The configuration in force. */
interface ConfigInForce {
  readonly version: number;
  /** A flow that has rested for this long may be forgotten, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** How the back ends of services warm up, by service. */
  readonly warmUps: ReadonlyMap<string, ServiceWarmUp>;
}

/** What became of an update. */
type UpdateOutcome =
  | 'applied'
  /** What is in force is as new. */
  | 'known'
  /** It is made to another version than the one in force. */
  | 'unfit';

/** Routes by address and port. */
export class RouteTable {
  private routes = new Map<RouteKey, WeightedRoundRobin>();
  private inForce: ConfigInForce | undefined;

  /** Undefined before the first update. */
  get config(): ConfigInForce | undefined {
    return this.inForce;
  }

  /** How many routes there are. */
  get size(): number {
    return this.routes.size;
  }

  /** Puts an update of the configuration in force; an older one never follows a newer one. */
  applyUpdate(update: ConfigUpdate): UpdateOutcome {
    const { version, baseVersion, idleTimeoutMs, warmUps, changes } = update;
    const heldVersion = this.inForce?.version ?? NO_VERSION;
    if (version <= heldVersion) {
      return 'known';
    }
    if (baseVersion !== NO_VERSION && baseVersion !== heldVersion) {
      return 'unfit';
    }
    const before = this.routes;
    this.routes = baseVersion === NO_VERSION ? new Map<RouteKey, WeightedRoundRobin>() : before;
    for (const { host, port, targets } of changes) {
      const key = routeKey(Number(packHost(host)), port);
      if (targets === undefined) {
        this.routes.delete(key);
      } else {
        this.routes.set(key, keptOrNew(before.get(key), targets));
      }
    }
    const byService = new Map(warmUps.map((warmUp) => [warmUp.service, warmUp]));
    this.inForce = { version, idleTimeoutMs, warmUps: byService };
    return 'applied';
  }

  /** @param host IPv4 number as 32 bits */
  has(host: number, port: number): boolean {
    return this.routes.has(routeKey(host, port));
  }

  /** @returns the service that the next flow of a route goes to; undefined where there is no route, or no weight */
  nextService(host: number, port: number): string | undefined {
    return this.routes.get(routeKey(host, port))?.next();
  }
}

/** A route whose targets did not change goes on with its turns. */
function keptOrNew(
  before: WeightedRoundRobin | undefined,
  targets: readonly WeightedTarget[],
): WeightedRoundRobin {
  return before?.hasTargets(targets) === true ? before : createWeightedRoundRobin(targets);
}
