/**
 * @file Member records, and which of two records of the same member wins.
 */
import type { Address } from '../../shared/common/address.js';

/** The status of a member. `left` means that the member announced its own shutdown. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** The addresses of a member. */
export interface MemberAddresses {
  /** IP address of the gossip socket and the link server. */
  readonly host: string;
  /** UDP port of the gossip socket. */
  readonly gossipPort: number;
  /** TCP port of the link server. */
  readonly linkPort: number;
}

/** The state of a member as spread by gossip. */
export interface MemberRecord extends MemberAddresses {
  /** Name of the balancer, unique in the cluster. */
  readonly id: string;
  /** Incremented only by the member itself: when it starts and to refute a suspicion. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** Within one incarnation, the status with the higher rank wins. */
const STATUS_RANK: Record<MemberStatus, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/**
 * @returns true if `candidate` is newer than `known`
 */
export function supersedes(candidate: MemberRecord, known: MemberRecord): boolean {
  if (candidate.incarnation !== known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return STATUS_RANK[candidate.status] > STATUS_RANK[known.status];
}

/**
 * @returns true if the member is alive or only suspected
 */
export function isPresent({ status }: MemberRecord): boolean {
  return status === 'alive' || status === 'suspect';
}

/**
 * @returns the UDP address of the member's gossip socket
 */
export function gossipAddress({ host, gossipPort }: MemberAddresses): Address {
  return { host, port: gossipPort };
}

/**
 * @returns the TCP address of the member's link server
 */
export function linkAddress({ host, linkPort }: MemberAddresses): Address {
  return { host, port: linkPort };
}
