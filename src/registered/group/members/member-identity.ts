/**
 * @file IDs of the members of a consensus group. A member is a machine with its disk; a machine that returns with an empty
 * disk is another member. Votes are counted by storage IDs, so these must be unique.
 */
import { formatAddress, type Address } from '../../../shared/common/address.js';
import type { NodeId } from '../../../shared/consensus/membership.js';

/**
 * @returns the storage ID of an initial member; derived from its address, so that all members can compute it
 */
export function initialStorageId(linkAddress: Address): string {
  return `first-${formatAddress(linkAddress)}`;
}

/**
 * @returns the node ID of a machine and its disk
 */
export function nodeIdOf(linkAddress: Address, storageId: string): NodeId {
  return `${formatAddress(linkAddress)}#${storageId}`;
}

/**
 * @returns true if a machine with an empty disk is an initial member of the group
 */
export function isInitialMember(
  linkAddress: Address,
  seeds: readonly Address[],
  isFirstStart: boolean,
): boolean {
  const own = formatAddress(linkAddress);
  return isFirstStart && seeds.some((seed) => formatAddress(seed) === own);
}
