/**
 * @file The routes in force at a balancer: which service the next flow of a route goes to, so that the
 * flows keep the weights of the route.
 */
import { packHost } from '../common/address.js';
import type { DeclaredConfig, DeclaredRoute } from '../declared/declared-config.js';

const PORT_VALUES = 65_536;

interface WeightedShare {
  readonly service: string;
  readonly weight: number;
  /** What the share is owed; the one that is owed most comes next. */
  credit: number;
}

interface RouteEntry {
  readonly route: DeclaredRoute;
  readonly shares: WeightedShare[];
  readonly totalWeight: number;
}

/** Routes by address and port. */
export class RouteTable {
  private routes = new Map<number, RouteEntry>();
  private held: DeclaredConfig | undefined;

  /** The configuration in force here. */
  get config(): DeclaredConfig | undefined {
    return this.held;
  }

  /**
   * Puts a configuration in force; an older one never follows a newer one.
   * @returns true where it was taken
   */
  take(config: DeclaredConfig): boolean {
    if (this.held !== undefined && config.version <= this.held.version) {
      return false;
    }
    const before = this.routes;
    this.routes = new Map();
    for (const route of config.routes) {
      const key = keyOf(Number(packHost(route.host)), route.port);
      this.routes.set(key, keptOrNew(before.get(key), route));
    }
    this.held = config;
    return true;
  }

  has(host: number, port: number): boolean {
    return this.routes.has(keyOf(host, port));
  }

  /** @returns the service that the next flow of a route goes to; undefined where there is no route */
  nextService(host: number, port: number): string | undefined {
    const entry = this.routes.get(keyOf(host, port));
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

function keyOf(host: number, port: number): number {
  return host * PORT_VALUES + port;
}

/** A route whose targets did not change goes on where it was. */
function keptOrNew(before: RouteEntry | undefined, route: DeclaredRoute): RouteEntry {
  const targets = route.targets.filter(({ weight }) => weight > 0);
  const isSame =
    before?.shares.length === targets.length &&
    targets.every(({ service, weight }, index) => {
      const share = before.shares[index];
      return share?.service === service && share.weight === weight;
    });
  if (isSame) {
    return { ...before, route };
  }
  return {
    route,
    shares: targets.map(({ service, weight }) => ({ service, weight, credit: 0 })),
    totalWeight: targets.reduce((sum, { weight }) => sum + weight, 0),
  };
}
