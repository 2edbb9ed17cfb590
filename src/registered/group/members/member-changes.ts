/**
 * @file Membership changes by the leader, one at a time; the next one is made after the previous one is committed. In
 * order of priority:
 *
 * 1. A learner that has all committed entries becomes a voter. It replaces the voter at the same address in one step,
 *    which is the same machine before it lost its disk and cannot vote again. Otherwise it needs a free place below
 *    MAX_VOTERS.
 * 2. A machine that announces itself becomes a learner, after an earlier learner at its address is removed.
 * 3. A voter without contact for longer than `removeVoterAfterMs` is removed if the group has more than
 *    2 × `tolerableLosses` + 1 voters. With fewer, a removal would make no quorum smaller, and cost a vote when the machine
 *    returns.
 * 4. A learner without contact for longer than LEARNER_TIMEOUT_MS is removed.
 */
import { formatAddress, type Address } from '../../../shared/common/address.js';
import {
  currentMembership,
  type ConsensusState,
  type LeaderRole,
} from '../../../shared/consensus/consensus-state.js';
import {
  findMember,
  votersOf,
  type Member,
  type MemberChange,
  type NodeId,
} from '../../../shared/consensus/membership.js';
import type { GroupState } from '../group-state.js';
import type { WithConsensus } from '../leadership.js';

/** State that membership changes depend on. */
type MemberChangeState = Pick<GroupState, 'options' | 'consensus' | 'announcements'>;

/** Long enough for a learner to install a snapshot over a slow link. */
const LEARNER_TIMEOUT_MS = 3_000;
/** Number of control machines in the largest deployment; each voter costs messages and a disk sync per entry. */
const MAX_VOTERS = 9;

/**
 * @returns the next membership change to propose; undefined if there is none or this machine is not the leader
 */
export function nextMemberChange(
  state: MemberChangeState,
  nowMs: number,
): MemberChange | undefined {
  const { consensus } = state;
  const { role, commitIndex, memberships } = consensus;
  const isPending = (memberships.at(-1)?.index ?? 0) > commitIndex;
  if (role.name !== 'leader' || isPending || commitIndex < role.termStartIndex) {
    return undefined;
  }
  return (
    learnerToPromote(consensus, role) ??
    learnerToAdd(state, nowMs) ??
    voterToRemove(state, role, nowMs) ??
    learnerToRemove(consensus, role, nowMs)
  );
}

function learnerToPromote(consensus: ConsensusState, role: LeaderRole): MemberChange | undefined {
  const membership = currentMembership(consensus);
  const { members } = membership;
  const ready = members.find(({ nodeId, role: memberRole }) => {
    const progress = role.progress.get(nodeId);
    const hasAllCommitted =
      progress?.mode === 'replicate' && progress.matchIndex >= consensus.commitIndex;
    return memberRole === 'learner' && hasAllCommitted;
  });
  if (ready === undefined) {
    return undefined;
  }
  const formerVoter = members.find(
    (member) => member.role === 'voter' && isSameMachine(member, ready.linkAddress),
  );
  if (formerVoter !== undefined) {
    return { type: 'replace-member', nodeId: ready.nodeId, lostNodeId: formerVoter.nodeId };
  }
  const hasRoom = votersOf(membership).length < MAX_VOTERS;
  return hasRoom ? { type: 'promote-member', nodeId: ready.nodeId } : undefined;
}

function learnerToAdd(state: MemberChangeState, nowMs: number): MemberChange | undefined {
  const membership = currentMembership(state.consensus);
  const isMember = (nodeId: NodeId) => findMember(membership, nodeId) !== undefined;
  const candidate = state.announcements.firstCandidate(nowMs, isMember);
  if (candidate === undefined) {
    return undefined;
  }
  const { nodeId, storageId, linkAddress } = candidate;
  const formerLearner = membership.members.find(
    (member) => member.role === 'learner' && isSameMachine(member, linkAddress),
  );
  if (formerLearner !== undefined) {
    return { type: 'remove-member', nodeId: formerLearner.nodeId };
  }
  return {
    type: 'add-member',
    member: { nodeId, storageId, linkAddress, operatorAddress: linkAddress },
  };
}

function voterToRemove(
  state: MemberChangeState,
  role: LeaderRole,
  nowMs: number,
): MemberChange | undefined {
  const { consensus, options } = state;
  const silent = votersOf(currentMembership(consensus)).find(
    ({ nodeId }) =>
      nodeId !== consensus.nodeId && silenceMs(role, nodeId, nowMs) > options.removeVoterAfterMs,
  );
  return silent !== undefined && hasSpareVoter(state)
    ? { type: 'remove-member', nodeId: silent.nodeId }
    : undefined;
}

/**
 * @returns true if the group has more voters than it needs to tolerate the configured losses
 */
export function hasSpareVoter({
  consensus,
  options,
}: WithConsensus & Pick<GroupState, 'options'>): boolean {
  const needed = 2 * options.tolerableLosses + 1;
  return votersOf(currentMembership(consensus)).length > needed;
}

function learnerToRemove(
  consensus: ConsensusState,
  role: LeaderRole,
  nowMs: number,
): MemberChange | undefined {
  const silent = currentMembership(consensus).members.find(
    ({ nodeId, role: memberRole }) =>
      memberRole === 'learner' && silenceMs(role, nodeId, nowMs) > LEARNER_TIMEOUT_MS,
  );
  return silent === undefined ? undefined : { type: 'remove-member', nodeId: silent.nodeId };
}

/** @returns the time since the last message of a member; 0 if the leader has not contacted it yet */
function silenceMs(role: LeaderRole, nodeId: NodeId, nowMs: number): number {
  return nowMs - (role.progress.get(nodeId)?.receivedAtMs ?? nowMs);
}

function isSameMachine(member: Member, linkAddress: Address): boolean {
  return formatAddress(member.linkAddress) === formatAddress(linkAddress);
}
