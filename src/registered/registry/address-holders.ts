/**
 * @file Tracks which back end holds an address when a new one starts where another has crashed. The newcomer takes
 * over with its first heartbeat; the one before counts as dead unless it outlasts the newcomer (name-holders.ts).
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { createNameHolders } from './name-holders.js';

/** Which back end holds which address. */
export interface AddressHolders {
  /** Records a heartbeat of a back end from its address. */
  recordHeartbeat(id: string, address: Address, receivedAtMs: number): void;
  /**
   * Records a back end that is known from the replicated list only; call in list order, which is that of first
   * heartbeats. It takes no address from a back end whose heartbeats arrive here.
   */
  recordListed(id: string, address: Address): void;
  /** @returns true if another back end holds its address */
  isSuperseded(id: string): boolean;
  /** @returns the ID of the back end that holds an address */
  holderOf(address: Address): string | undefined;
  /** Removes a back end from an address that it left, or when it is deleted. */
  remove(id: string, address: Address): void;
}

/** @param heartbeatIntervalMs time between two heartbeats of a back end */
export function createAddressHolders(heartbeatIntervalMs: number): AddressHolders {
  const holders = createNameHolders(heartbeatIntervalMs, {
    takesOverOnFirstHeartbeat: () => true,
    listedTakesOver: () => false,
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
