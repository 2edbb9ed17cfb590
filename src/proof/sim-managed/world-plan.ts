/**
 * @file Configuration of a simulated world: numbers of processes, services, and timing of stand-ins
 * and platform.
 */
import type { BackendFaults, BackendTuning } from '../standins/backend-options.js';

/** A service and the numbers of its back ends and callers. */
export interface ServicePlan {
  readonly name: string;
  /** Name of the operator that owns the service. */
  readonly owner: string;
  readonly backends: number;
  /** Number of callers that only send requests. */
  readonly callers: number;
  /** Number of callers that also subscribe to a feed. */
  readonly feeds: number;
}

/** Configuration of a world; times in milliseconds. */
export interface WorldPlan {
  readonly controls: number;
  readonly balancers: number;
  /**
   * Number of zones of the balancers; with fewer zones, more balancers get the configuration from
   * peers.
   */
  readonly balancerZones: number;
  readonly services: readonly ServicePlan[];
  /** Pause between two requests of a caller. */
  readonly pauseMs: number;
  readonly requestDeadlineMs: number;
  readonly meanServiceTimeMs: number;
  /** Faults of back ends, keyed by their index in order of creation. */
  readonly backendFaults: ReadonlyMap<number, BackendFaults>;
  /** True if callers keep their flows after a go-away. */
  readonly callersIgnoreGoAway: boolean;
  readonly backendTuning: Partial<BackendTuning>;
  /** Longest delay until the fabric receives a changed list of balancers. */
  readonly platformLagMs: number;
  /** Time for which a stopping balancer continues to forward; longer than `platformLagMs`. */
  readonly stopGraceMs: number;
}

/** Zones, assigned to machines in rotation. */
export const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

/** A small world with services of both partners. */
export const smallWorld: WorldPlan = {
  controls: 3,
  balancers: 4,
  balancerZones: 3,
  services: [
    { name: 'authd', owner: 'tarjeta', backends: 3, callers: 4, feeds: 0 },
    { name: 'board-api', owner: 'hara', backends: 3, callers: 2, feeds: 2 },
    { name: 'settled', owner: 'tarjeta', backends: 2, callers: 1, feeds: 0 },
  ],
  pauseMs: 300,
  requestDeadlineMs: 15_000,
  meanServiceTimeMs: 10,
  backendFaults: new Map(),
  callersIgnoreGoAway: false,
  backendTuning: {},
  platformLagMs: 2_000,
  stopGraceMs: 3_000,
};

/**
 * @returns the zone of the machine with an index
 */
export function zoneOf(position: number): string {
  return ZONES[position % ZONES.length] ?? ZONES[0];
}
