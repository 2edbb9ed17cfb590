/**
 * @file To which start of a back end does an address belong, where several claim it?
 *
 * Inputs: the heartbeats of each start with their addresses and times, and the order of the replicated list; times in
 * milliseconds. Returns the holder of an address, and whether a start is superseded; a superseded one counts as dead.
 *
 * Reason: a back end that crashes says nothing, and the next one may start at its address before its silence is
 * noticed. A heartbeat that a cut held up may even come after the first one of the next start. New flows for the one
 * that is gone would get no answer. So the newcomer holds the address at once, and one that is superseded holds it
 * again only by heartbeats that go on while the holder's do not (holders.ts).
 *
 * Test: test/registered/ingress/reborn-backend. Its first form showed that the holder must have ceased, too
 * (docs/FINDINGS.md). Log lines: `backend registered` with `supersedes`, and `backend judged` at the balancer.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { createHolders } from './holders.js';

/** Which back end holds which address. */
export interface AddressHolders {
  /** Records a heartbeat of a back end at an address. */
  recordHeartbeat(id: string, address: Address, receivedAtMs: number): void;
  /**
   * Records a back end of the replicated list, which is in the order of first heartbeats. It gives way to any whose
   * heartbeat came here.
   */
  recordListed(id: string, address: Address): void;
  /** @returns true where another one holds its address */
  isSuperseded(id: string): boolean;
  /** @returns the back end that holds an address */
  holderOf(address: Address): string | undefined;
  /** A back end is forgotten, or has another address from now on. */
  remove(id: string, address: Address): void;
}

/** @param heartbeatIntervalMs time between two heartbeats of a back end */
export function createAddressHolders(heartbeatIntervalMs: number): AddressHolders {
  const holders = createHolders(heartbeatIntervalMs, {
    takesAtOnce: () => true,
    listedTakesAtOnce: () => false,
  });

  return {
    recordHeartbeat: (id, address, atMs) =>
      holders.recordHeartbeat(id, formatAddress(address), atMs),
    recordListed: (id, address) => holders.recordListed(id, formatAddress(address)),
    isSuperseded: (id) => holders.isSuperseded(id),
    holderOf: (address) => holders.holderOf(formatAddress(address)),
    remove: (id, address) => holders.remove(id, formatAddress(address)),
  };
}
