/**
 * @file How members of the consensus group are named. A member is a machine with its disk: a machine that comes back
 * with an empty disk is another member. Votes are counted by storage IDs, so no two members may share one.
 */
import { formatAddress, type Address } from '../../../shared/common/address.js';
import type { NodeId } from '../../../shared/consensus/membership.js';

/**
 * @returns the storage ID of a member with which a group begins; all others know it before that member has started
 */
export function firstStorageId(linkAddress: Address): string {
  return `first-${formatAddress(linkAddress)}`;
}

/**
 * @returns the node ID of a machine with its disk
 */
export function memberName(linkAddress: Address, storageId: string): NodeId {
  return `${formatAddress(linkAddress)}#${storageId}`;
}

/**
 * @returns true where a machine with an empty disk is one of those with which the group begins
 */
export function isFirstMember(
  linkAddress: Address,
  seeds: readonly Address[],
  isFirstStart: boolean,
): boolean {
  const own = formatAddress(linkAddress);
  return isFirstStart && seeds.some((seed) => formatAddress(seed) === own);
}
