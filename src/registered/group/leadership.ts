/**
 * @file Decides whether this control machine is current, that is, whether its committed state is up to date. A machine
 * that is not current accepts no heartbeats, detects no silence, and reports it in its feed, so that balancers switch to
 * another one (src/registered/decisions/feed-source.ts).
 *
 * A leader is current once an entry of its own term is committed; until then it does not know which earlier entries are.
 * A follower is current until an election timeout has passed without a message of its leader, since others may have a
 * new leader after that.
 */
import type { Address } from '../../shared/common/address.js';
import { currentMembership, type ConsensusState } from '../../shared/consensus/consensus-state.js';
import { findMember, type Member } from '../../shared/consensus/membership.js';

/** State that contains the consensus state. */
export interface WithConsensus {
  readonly consensus: ConsensusState;
}

/**
 * @returns true if this machine is a leader with a quorum, or has had recent contact with its leader
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
 * @returns the link address of the leader; undefined if it is unknown or this machine is the leader
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
