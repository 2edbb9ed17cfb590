/**
 * @file The zones of the simulated deployment, and what runs in each.
 */
import type { StandInBackend } from './stand-in-backend.js';
import { SIMULATED_SERVICES } from './stand-in-operator.js';

/** Control machines, balancers and back ends are spread over them. */
export const SIMULATED_ZONES = ['zone-a', 'zone-b'] as const;

/** @returns the zone of a back end; each service has back ends in each zone */
export function zoneOfBackend(number: number): string {
  const round = Math.floor((number - 1) / SIMULATED_SERVICES.length);
  return SIMULATED_ZONES[round % SIMULATED_ZONES.length] ?? 'zone-a';
}

/** The back ends of a zone have been without work for so long that they are cold. */
export function turnCold(backends: readonly StandInBackend[], zone: string): void {
  backends
    .filter(({ identity }) => identity.zone === zone)
    .forEach((backend) => backend.turnCold());
}
