/**
 * @file Enforces a service's limit of connections per back end (`connectionsPerBackend`).
 */
import type { ServiceLimits } from '../control/routing-config.js';
import type { PlacementCandidate } from '../routing/placement-policy.js';

/**
 * @returns IDs of the candidates whose estimated connections have reached the limit; empty without a limit
 */
export function fullBackendIds(
  candidates: readonly PlacementCandidate[],
  { connectionsPerBackend }: ServiceLimits,
): number[] {
  if (connectionsPerBackend === undefined) {
    return [];
  }
  return candidates
    .filter(({ estimate }) => estimate.connections >= connectionsPerBackend)
    .map(({ backend }) => backend.id);
}
