/**
 * @file Is this control machine current, that is: does it know what is committed?
 *
 * Inputs: the state of its consensus and the time, in milliseconds. Returns a boolean. A machine that is not current
 * accepts no heartbeats, detects no silence, and says in its feed that it is not current, so that balancers look for
 * another one (src/registered/decisions/feed-source.ts).
 *
 * Reason: a leader is current once an entry of its own term is committed, since only then are all entries of earlier
 * terms known as committed. A follower is current as long as a new leader can't have been elected without it: for one
 * election time-out after the last message of its leader. The time-out stands in timing.ts.
 */
import type { Address } from '../../shared/common/address.js';
import { currentMembership, type ConsensusState } from '../../shared/consensus/consensus-state.js';
import { findMember, type Member } from '../../shared/consensus/membership.js';

/** Consensus, from which follow the leader and the other members. */
export interface WithConsensus {
  readonly consensus: ConsensusState;
}

/**
 * @returns true where this machine leads a quorum, or follows a leader that sent something lately
 */
export function isCurrent({ consensus }: WithConsensus, nowMs: number): boolean {
  const { role, leaderId, leaderContactAtMs, options, commitIndex } = consensus;
  if (role.name === 'leader') {
    return commitIndex >= role.termStartIndex;
  }
  const isFollowing = leaderId !== undefined;
  return isFollowing && nowMs - leaderContactAtMs <= options.electionTimeoutMs;
}

/**
 * @returns the link address of the leader, where another machine leads
 */
export function leaderAddress({ consensus }: WithConsensus): Address | undefined {
  const { leaderId, nodeId } = consensus;
  if (leaderId === undefined || leaderId === nodeId) {
    return undefined;
  }
  return findMember(currentMembership(consensus), leaderId)?.linkAddress;
}

/**
 * @returns the members other than this machine
 */
export function otherMembers({ consensus }: WithConsensus): Member[] {
  return currentMembership(consensus).members.filter(({ nodeId }) => nodeId !== consensus.nodeId);
}
