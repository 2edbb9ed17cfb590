/**
 * @file A balancer as its zone knows it, and which of two records of one balancer is later knowledge.
 */
import type { Address } from '../../shared/common/address.js';

/** The status of a member. `left` is a member that sent itself that it stops. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** Where a member is reached. */
export interface MemberAddresses {
  /** IP address of its gossip socket and its link server. */
  readonly host: string;
  /** UDP port for gossip. */
  readonly gossipPort: number;
  /** TCP port for links of other balancers. */
  readonly linkPort: number;
}

/** What is known of a member; sent as gossip. */
export interface MemberRecord extends MemberAddresses {
  /** Name of the balancer; unique in the cluster. */
  readonly id: string;
  /** Only the member itself raises it: at a start, and to refute a suspicion. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** Of two records of one incarnation, the one of higher rank counts. */
const STATUS_RANK: Record<MemberStatus, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/**
 * @returns true where `candidate` is later knowledge than `known`
 */
export function supersedes(candidate: MemberRecord, known: MemberRecord): boolean {
  if (candidate.incarnation !== known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return STATUS_RANK[candidate.status] > STATUS_RANK[known.status];
}

/**
 * @returns true where a member may still take part
 */
export function isPresent({ status }: MemberRecord): boolean {
  return status === 'alive' || status === 'suspect';
}

/**
 * @returns the UDP address of a member
 */
export function gossipAddress({ host, gossipPort }: MemberAddresses): Address {
  return { host, port: gossipPort };
}

/**
 * @returns the TCP address of a member
 */
export function linkAddress({ host, linkPort }: MemberAddresses): Address {
  return { host, port: linkPort };
}
