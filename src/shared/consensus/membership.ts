/**
 * @file Membership of a consensus group. A member is identified by node ID and storage ID: a machine that lost its disk
 * returns with a new storage ID and is a different member.
 */
import type { Address } from '../common/address.js';

/** Machine name from the settings. */
export type NodeId = string;

/** Voters count for elections and commits; learners only receive the log. */
export type MemberRole = 'voter' | 'learner';

/** A member of the group. */
export interface Member {
  readonly nodeId: NodeId;
  /** Generated at the first start with an empty disk. */
  readonly storageId: string;
  readonly role: MemberRole;
  /** TCP address for links to this member. */
  readonly linkAddress: Address;
  /** HTTP address of its operator API. */
  readonly operatorAddress: Address;
}

/** All members, sorted by node ID, which is unique. */
export interface Membership {
  readonly members: readonly Member[];
}

/** A membership change; changes are applied one at a time. */
export type MemberChange =
  /** Adds a learner. */
  | { readonly type: 'add-member'; readonly member: Omit<Member, 'role'> }
  /** Promotes a caught-up learner to voter. */
  | { readonly type: 'promote-member'; readonly nodeId: NodeId }
  /**
   * Promotes a caught-up learner in place of a voter whose disk is permanently lost. Safe in one step only because the
   * lost voter can never vote or acknowledge again, so every old quorum excludes it and overlaps every new quorum.
   */
  | {
      readonly type: 'replace-member';
      readonly nodeId: NodeId;
      readonly lostNodeId: NodeId;
    }
  | { readonly type: 'remove-member'; readonly nodeId: NodeId };

/** Membership of a machine that belongs to no cluster yet. */
export const emptyMembership: Membership = { members: [] };

/**
 * @returns the member with this node ID, or undefined
 */
export function findMember(membership: Membership, nodeId: NodeId): Member | undefined {
  return membership.members.find((member) => member.nodeId === nodeId);
}

/**
 * @returns the voters, sorted by node ID
 */
export function votersOf(membership: Membership): Member[] {
  return membership.members.filter((member) => member.role === 'voter');
}

/**
 * @returns the number of voters in a majority
 */
export function quorumSize(membership: Membership): number {
  return Math.floor(votersOf(membership).length / 2) + 1;
}

/**
 * @param minimumCopies voters that must have an entry on disk, in addition to the quorum rule
 * @returns voters that must have an entry on disk before it is committed; at least a quorum, at most all voters
 */
export function commitQuorumSize(membership: Membership, minimumCopies: number): number {
  const voters = votersOf(membership).length;
  return Math.max(quorumSize(membership), Math.min(minimumCopies, voters));
}

/**
 * @param voterCount number of voters that must have reached the value
 * @param valueOf the value that a voter has reached, such as a log index or a round
 * @returns the highest value that at least `voterCount` voters have reached; 0 if there are fewer voters
 */
export function highestReachedByVoters(
  membership: Membership,
  voterCount: number,
  valueOf: (nodeId: NodeId) => number,
): number {
  const values = votersOf(membership)
    .map(({ nodeId }) => valueOf(nodeId))
    .sort((a, b) => b - a);
  return values[voterCount - 1] ?? 0;
}

/**
 * @returns a membership with the members sorted by node ID
 */
export function sortedMembership(members: readonly Member[]): Membership {
  return { members: [...members].sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1)) };
}

/**
 * @returns the membership after a change, or undefined if the change does not apply
 */
export function applyMemberChange(
  membership: Membership,
  change: MemberChange,
): Membership | undefined {
  const { members } = membership;
  if (change.type === 'add-member') {
    const isKnown = findMember(membership, change.member.nodeId) !== undefined;
    const learner: Member = { ...change.member, role: 'learner' };
    return isKnown ? undefined : sortedMembership([...members, learner]);
  }
  const member = findMember(membership, change.nodeId);
  if (member === undefined) {
    return undefined;
  }
  const others = members.filter(({ nodeId }) => nodeId !== change.nodeId);
  if (change.type === 'promote-member') {
    return member.role === 'learner'
      ? sortedMembership([...others, { ...member, role: 'voter' }])
      : undefined;
  }
  if (change.type === 'replace-member') {
    return applyReplacement(membership, member, change.lostNodeId);
  }
  const isLastVoter = member.role === 'voter' && votersOf(membership).length === 1;
  return isLastVoter ? undefined : sortedMembership(others);
}

function applyReplacement(
  membership: Membership,
  learner: Member,
  lostNodeId: NodeId,
): Membership | undefined {
  const lost = findMember(membership, lostNodeId);
  if (learner.role !== 'learner' || lost?.role !== 'voter') {
    return undefined;
  }
  const others = membership.members.filter(
    ({ nodeId }) => nodeId !== learner.nodeId && nodeId !== lostNodeId,
  );
  return sortedMembership([...others, { ...learner, role: 'voter' }]);
}
