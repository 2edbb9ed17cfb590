/**
 * @file Quarantine of removed addresses. A removed address may join another service only after every balancer has
 * applied the removal or its lease has expired; until then a balancer could still send it packets of the former
 * service.
 */
import type { ClusterState, QuarantinedAddress } from './cluster-state.js';

/**
 * @param fencedIndex highest log index that every balancer with a valid lease has in force
 * @returns the quarantined addresses that may join any service
 */
export function releasableAddresses(
  state: ClusterState,
  fencedIndex: number,
): QuarantinedAddress[] {
  return [...state.quarantine.values()].filter((entry) => entry.removedIndex <= fencedIndex);
}

/**
 * Releases all addresses that were removed at `fencedIndex` or earlier.
 */
export function releaseAddresses(state: ClusterState, fencedIndex: number): void {
  for (const [text, entry] of state.quarantine) {
    if (entry.removedIndex <= fencedIndex) {
      state.quarantine.delete(text);
    }
  }
}
