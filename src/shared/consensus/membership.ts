/**
 * @file The members of a consensus group. A member is named by its node ID and its storage ID: a
 * machine that lost its disk comes back with another storage ID and is another member.
 */
import type { Address } from '../common/address.js';

/** Name of a machine, from its settings. */
export type NodeId = string;

/** Voters elect and commit; learners only receive the log. */
export type MemberRole = 'voter' | 'learner';

/** One member. */
export interface Member {
  readonly nodeId: NodeId;
  /** Made at the first start with an empty disk. */
  readonly storageId: string;
  readonly role: MemberRole;
  /** TCP address of its links. */
  readonly linkAddress: Address;
  /** HTTP address of its operator interface. */
  readonly operatorAddress: Address;
}

/** All members, ordered by node ID; at most one per node ID. */
export interface Membership {
  readonly members: readonly Member[];
}

/** One change of the membership; only one member at a time ever changes. */
export type MemberChange =
  /** Adds a learner. */
  | { readonly type: 'add-member'; readonly member: Omit<Member, 'role'> }
  /** Makes a learner that has caught up a voter. */
  | { readonly type: 'promote-member'; readonly nodeId: NodeId }
  /**
   * Makes a learner that has caught up a voter in the place of a voter whose disk is gone for good. Safe
   * in one step only because the replaced voter can never vote or acknowledge again: any quorum of the
   * old voters then leaves out the lost one, and so meets any quorum of the new voters.
   */
  | {
      readonly type: 'replace-member';
      readonly nodeId: NodeId;
      readonly lostNodeId: NodeId;
    }
  | { readonly type: 'remove-member'; readonly nodeId: NodeId };

/** No members: the membership of a machine that belongs to no cluster yet. */
export const noMembers: Membership = { members: [] };

/**
 * @returns the member with this node ID
 */
export function findMember(membership: Membership, nodeId: NodeId): Member | undefined {
  return membership.members.find((member) => member.nodeId === nodeId);
}

/**
 * @returns the voters, ordered by node ID
 */
export function votersOf(membership: Membership): Member[] {
  return membership.members.filter((member) => member.role === 'voter');
}

/**
 * @returns how many voters a decision needs
 */
export function quorumSize(membership: Membership): number {
  return Math.floor(votersOf(membership).length / 2) + 1;
}

/**
 * @param minimumCopies how many disks must hold an entry before it counts as committed
 * @returns how many voters must have an entry on disk: a quorum, and as many copies as are asked for
 *   where there are so many voters
 */
export function commitSize(membership: Membership, minimumCopies: number): number {
  const voters = votersOf(membership).length;
  return Math.max(quorumSize(membership), Math.min(minimumCopies, voters));
}

/**
 * @param count how many voters must have reached a value
 * @param valueOf what a voter has reached: an index, a round
 * @returns the highest value that so many voters have reached; 0 where there are fewer voters
 */
export function reachedByVoters(
  membership: Membership,
  count: number,
  valueOf: (nodeId: NodeId) => number,
): number {
  const values = votersOf(membership)
    .map(({ nodeId }) => valueOf(nodeId))
    .sort((a, b) => b - a);
  return values[count - 1] ?? 0;
}

/**
 * @returns members ordered by node ID
 */
export function sortedMembership(members: readonly Member[]): Membership {
  return { members: [...members].sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1)) };
}

/**
 * @returns the membership after a change, or undefined where the change does not apply
 */
export function changedMembership(
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
    return replacedMembership(membership, member, change.lostNodeId);
  }
  const isLastVoter = member.role === 'voter' && votersOf(membership).length === 1;
  return isLastVoter ? undefined : sortedMembership(others);
}

function replacedMembership(
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
