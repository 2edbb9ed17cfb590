/**
 * @file What a simulated world consists of: numbers of processes, services, and times of stand-ins and platform.
 */
import type { BackendFaults, BackendTuning } from '../standins/backend-options.js';

/** One service of a world. */
export interface ServicePlan {
  readonly name: string;
  /** The operator who owns it. */
  readonly owner: string;
  readonly backends: number;
  /** Callers that make requests. */
  readonly callers: number;
  /** Callers that hold a feed besides. */
  readonly feeds: number;
}

/** A world; times in milliseconds. */
export interface WorldPlan {
  readonly controls: number;
  readonly balancers: number;
  /** Over how many zones the balancers are spread; the fewer, the more pass the configuration on. */
  readonly balancerZones: number;
  readonly services: readonly ServicePlan[];
  /** Pause between two requests of a caller. */
  readonly pauseMs: number;
  readonly requestDeadlineMs: number;
  readonly meanServiceTimeMs: number;
  /** Faults of the back ends, by position over all services. */
  readonly backendFaults: ReadonlyMap<number, BackendFaults>;
  /** True where callers stay on their flows after a go-away. */
  readonly callersIgnoreGoAway: boolean;
  readonly backendTuning: Partial<BackendTuning>;
  /** Longest time until the fabric gets a change of the list of balancers. */
  readonly platformLagMs: number;
  /** Time for which a balancer that stops forwards on; longer than the platform's lag. */
  readonly stopGraceMs: number;
}

/** Zones, over which all machines are spread in turn. */
export const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

/** A small world with both partners. */
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
 * @returns the zone of the machine at a position
 */
export function zoneOf(position: number): string {
  return ZONES[position % ZONES.length] ?? ZONES[0];
}
