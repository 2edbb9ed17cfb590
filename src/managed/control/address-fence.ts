/**
 * @file When may an address that left a service join another one? Not before every balancer has the removal in force
 * or is past its lease: until then a balancer might send it packets of the former service. The service that it left
 * may have it back at once (`decision.ts`).
 *
 * Input: the fenced log index (`dissemination/lease-authority.ts`). An address is free 12 to 13 s after its removal,
 * which follows from the lease of 10 s, its margin and the delay of the floor (docs/design/dissemination.md). Owns no
 * constant. The leader proposes `release-addresses` (`leader-commands.ts`); until then commands get `conflict` with
 * "left a service".
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
