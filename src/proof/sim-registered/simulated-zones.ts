/**
 * @file The zones of the simulated deployment and the placement of back ends.
 */
import type { StandInBackend } from './stand-in-backend.js';
import { SIMULATED_SERVICES } from './stand-in-operator.js';

/** Zones over which control machines, balancers and back ends are distributed. */
export const SIMULATED_ZONES = ['zone-a', 'zone-b'] as const;

/** @returns the zone of a back end; spreads each service over all zones */
export function zoneOfBackend(number: number): string {
  const round = Math.floor((number - 1) / SIMULATED_SERVICES.length);
  return SIMULATED_ZONES[round % SIMULATED_ZONES.length] ?? 'zone-a';
}

/** Marks all back ends of a zone as cold, as after a long time without traffic. */
export function turnCold(backends: readonly StandInBackend[], zone: string): void {
  backends
    .filter(({ identity }) => identity.zone === zone)
    .forEach((backend) => backend.markCold());
}
