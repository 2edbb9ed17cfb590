/**
 * @file The fence against early reuse of addresses. An address that left a service stays in
 * quarantine until every balancer has the removal in force or is past its lease; till then a
 * balancer might send it packets of the former service.
 */
import type { ClusterState, QuarantinedAddress } from './cluster-state.js';

/**
 * @param fencedIndex every balancer has this log index in force, or is past its lease
 * @returns the addresses that may join any service again
 */
export function releasableAddresses(
  state: ClusterState,
  fencedIndex: number,
): QuarantinedAddress[] {
  return [...state.quarantine.values()].filter((entry) => entry.removedIndex <= fencedIndex);
}

/**
 * Ends the quarantine of all addresses that may join any service again.
 */
export function releaseAddresses(state: ClusterState, fencedIndex: number): void {
  for (const [text, entry] of state.quarantine) {
    if (entry.removedIndex <= fencedIndex) {
      state.quarantine.delete(text);
    }
  }
}
