/**
 * @file Which back ends are left out because they hold as many connections as their service allows each? Compares this
 * balancer's estimate with the limit `connectionsPerBackend`; a service without the limit leaves none out.
 */
import type { ServiceLimits } from '../control/routing-config.js';
import type { PlacementCandidate } from '../routing/placement-policy.js';

/**
 * @returns IDs of the candidates that hold as many connections as the service allows each, by this
 *   balancer's estimate
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
