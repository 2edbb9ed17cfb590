/**
 * @file The active configuration of a balancer: its version, and the routes with the service of their next flow. Changes
 * only as a whole, by a complete update.
 */
import { packHost } from '../../shared/common/address.js';
import { NO_VERSION, type ConfigUpdate } from '../declared/config-update.js';
import type { ServiceWarmUp, WeightedTarget } from '../declared/declared-config.js';
import {
  createWeightedRoundRobin,
  type WeightedRoundRobin,
} from '../decisions/weighted-round-robin.js';
import { routeKey, type RouteKey } from './packet-view.js';

/** The active configuration, without its routes. */
interface ConfigInForce {
  readonly version: number;
  /** Time after which an idle flow may be removed, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Warm-up of back ends, by service. */
  readonly warmUps: ReadonlyMap<string, ServiceWarmUp>;
}

/** Result of an update. */
type UpdateOutcome =
  | 'applied'
  /** The active configuration is at least as new. */
  | 'known'
  /** The update is based on a version other than the active one. */
  | 'unfit';

/** The active configuration, with routes by address and port. */
export class RouteTable {
  private routes = new Map<RouteKey, WeightedRoundRobin>();
  private inForce: ConfigInForce | undefined;

  /** Undefined before the first update. */
  get config(): ConfigInForce | undefined {
    return this.inForce;
  }

  /** Number of routes. */
  get size(): number {
    return this.routes.size;
  }

  /** Activates an update, unless the active configuration is at least as new. */
  applyUpdate(update: ConfigUpdate): UpdateOutcome {
    const { version, baseVersion, idleTimeoutMs, warmUps, changes } = update;
    const currentVersion = this.inForce?.version ?? NO_VERSION;
    if (version <= currentVersion) {
      return 'known';
    }
    if (baseVersion !== NO_VERSION && baseVersion !== currentVersion) {
      return 'unfit';
    }
    const previousRoutes = this.routes;
    this.routes =
      baseVersion === NO_VERSION ? new Map<RouteKey, WeightedRoundRobin>() : previousRoutes;
    for (const { host, port, targets } of changes) {
      const key = routeKey(Number(packHost(host)), port);
      if (targets === undefined) {
        this.routes.delete(key);
      } else {
        this.routes.set(key, reuseOrCreate(previousRoutes.get(key), targets));
      }
    }
    const byService = new Map(warmUps.map((warmUp) => [warmUp.service, warmUp]));
    this.inForce = { version, idleTimeoutMs, warmUps: byService };
    return 'applied';
  }

  /** @param host IPv4 address as a 32-bit integer */
  has(host: number, port: number): boolean {
    return this.routes.has(routeKey(host, port));
  }

  /** @returns the service for the next flow of a route; undefined if there is no route or no target with a weight */
  nextService(host: number, port: number): string | undefined {
    return this.routes.get(routeKey(host, port))?.next();
  }
}

/** Keeps the round-robin state of a route whose targets did not change. */
function reuseOrCreate(
  existing: WeightedRoundRobin | undefined,
  targets: readonly WeightedTarget[],
): WeightedRoundRobin {
  return existing?.hasTargets(targets) === true ? existing : createWeightedRoundRobin(targets);
}
