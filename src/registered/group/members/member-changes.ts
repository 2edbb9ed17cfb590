/**
 * @file Who becomes a voter of the group, who is removed, and when?
 *
 * Inputs: the membership and the progress of each member as the leader knows them, the announcements of machines that
 * ask to be admitted, the time in milliseconds, and the options `tolerableLosses` (disks) and `removeVoterAfterMs`.
 * Returns one change of the membership, or none; the next one is made only once that is committed. In this order:
 *
 * 1. A learner that has all committed entries becomes a voter. It takes the place of the voter at the same address, in
 *    one step: that is the same machine before it lost its disk, and can never vote again. Otherwise it needs a free
 *    place below MAX_VOTERS.
 * 2. A machine that announces itself becomes a learner; an earlier learner at its address is removed first.
 * 3. A voter that is silent for longer than `removeVoterAfterMs` is removed, but only where the group has more voters
 *    than 2 × `tolerableLosses` + 1: with fewer a removal makes no quorum smaller and costs a vote when the machine
 *    returns.
 * 4. A learner that is silent for LEARNER_SILENT_MS is removed.
 *
 * Why the replacement in one step is safe, and what it has to do with the copies of an entry, is explained in
 * docs/design/registered.md, "Formation and repair". Log line: `membership`.
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

/** What changes of the membership depend on. */
type MemberChangeState = Pick<GroupState, 'options' | 'consensus' | 'announcements'>;

/**
 * A learner without a sign of life for so long is removed. Not measured; too short would show as learners that are
 * removed and added again on slow links, while they install a snapshot.
 */
const LEARNER_SILENT_MS = 3_000;
/**
 * As many machines as the largest deployment sets aside for control (DEVELOPERS.md, "What it is built for"). Each voter
 * above the quorum that losses ask for costs messages and a sync for each entry. What more of them would cost was not
 * measured.
 */
const MAX_VOTERS = 9;

/**
 * @returns the next change of the membership that this machine should make as the leader
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
  const former = members.find(
    (member) => member.role === 'voter' && isSameMachine(member, ready.linkAddress),
  );
  if (former !== undefined) {
    return { type: 'replace-member', nodeId: ready.nodeId, lostNodeId: former.nodeId };
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
 * @returns true where the group has more voters than it needs for the losses that it must tolerate
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
      memberRole === 'learner' && silenceMs(role, nodeId, nowMs) > LEARNER_SILENT_MS,
  );
  return silent === undefined ? undefined : { type: 'remove-member', nodeId: silent.nodeId };
}

/** @returns how long the leader got nothing from a member; 0 where it has not sent it anything yet */
function silenceMs(role: LeaderRole, nodeId: NodeId, nowMs: number): number {
  return nowMs - (role.progress.get(nodeId)?.receivedAtMs ?? nowMs);
}

function isSameMachine(member: Member, linkAddress: Address): boolean {
  return formatAddress(member.linkAddress) === formatAddress(linkAddress);
}
