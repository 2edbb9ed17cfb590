/**
 * @file The active configuration of a balancer: its version, and the routes with the service of their next flow. Changes
 * only as a whole, by a complete update.
 */
import { packHost } from '../../shared/common/address.js';
import { NO_VERSION, type ConfigUpdate, type RouteChange } from '../declared/config-update.js';
import type { ServiceWarmUp } from '../declared/declared-config.js';
import type { RouteAttributes } from '../declared/route-attributes.js';
import { rankUrgency, type UrgencyClass, type UrgencyRanking } from '../decisions/urgency.js';
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
  /** The update is based on another version, or only a full update supplies the attributes that are required. */
  | 'unfit';

/** Options of a route table. */
interface RouteTableOptions {
  /** True if routes of unknown attributes are to be replaced as soon as a sender lists attributes. */
  readonly requiresAttributes?: boolean;
}

interface Route {
  readonly targets: WeightedRoundRobin;
  /** Undefined if the sender's version does not know attributes. */
  readonly attributes: RouteAttributes | undefined;
}

/** The active configuration, with routes by address and port. */
export class RouteTable {
  private routes = new Map<RouteKey, Route>();
  private inForce: ConfigInForce | undefined;
  /** False after an update of a sender that does not list changes of attributes, until the next full update. */
  private knowsAttributes = false;
  /** Undefined until it is needed after an update. */
  private ranking: UrgencyRanking | undefined;

  constructor(private readonly options: RouteTableOptions = {}) {}

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
    const listsAttributes = update.listsAttributes === true;
    const isFull = baseVersion === NO_VERSION;
    const currentVersion = this.inForce?.version ?? NO_VERSION;
    if (version <= currentVersion) {
      return 'known';
    }
    const isFit = baseVersion === currentVersion && !(listsAttributes && this.needsAttributes());
    if (!isFull && !isFit) {
      return 'unfit';
    }
    this.knowsAttributes = listsAttributes && (isFull || this.knowsAttributes);
    const previousRoutes = this.routes;
    this.routes = isFull ? new Map<RouteKey, Route>() : previousRoutes;
    for (const change of changes) {
      const key = routeKey(Number(packHost(change.host)), change.port);
      const route = routeOf(change, previousRoutes.get(key));
      if (route === undefined) {
        this.routes.delete(key);
      } else {
        this.routes.set(key, route);
      }
    }
    this.ranking = undefined;
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
    return this.routes.get(routeKey(host, port))?.targets.next();
  }

  /** @returns undefined if there is no route, or if the attributes of routes are unknown */
  attributesOf(host: number, port: number): RouteAttributes | undefined {
    const route = this.routes.get(routeKey(host, port));
    return this.knowsAttributes ? route?.attributes : undefined;
  }

  /** @returns the class of a route among all routes; these are alike while their attributes are unknown */
  urgencyOf(host: number, port: number): UrgencyClass {
    this.ranking ??= rankUrgency([...this.routes.values()].map(({ attributes }) => attributes));
    return this.ranking.classOf(this.attributesOf(host, port));
  }

  private needsAttributes(): boolean {
    return this.options.requiresAttributes === true && !this.knowsAttributes;
  }
}

/**
 * Keeps the round-robin state of a route whose targets did not change.
 * @returns undefined if the route is removed
 */
function routeOf(
  { targets, attributes }: RouteChange,
  previous: Route | undefined,
): Route | undefined {
  if (targets === undefined) {
    return undefined;
  }
  const canReuse = previous?.targets.hasTargets(targets) === true;
  return {
    targets: canReuse ? previous.targets : createWeightedRoundRobin(targets),
    attributes,
  };
}
