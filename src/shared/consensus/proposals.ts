/**
 * @file Which proposals does a leader accept?
 *
 * Inputs: its role, the members, how far each member's log is (entries), and which voters it is in contact with.
 *
 * Commands are accepted by any leader that is not handing over. A membership change is accepted only where none is under
 * way, an entry of the own term is committed, a member that gets a vote has caught up, and a quorum of the voters that
 * the change leaves answers now: a removal must not leave a group that can decide nothing.
 *
 * Refused is `not-leader`, `storage-failed`, or `conflict` with the reason; nothing of a refused proposal is in the log.
 */
import { hasQuorumContact } from './check-quorum.js';
import type { RefusalKind, StepScope } from './consensus-events.js';
import { currentMembership, type ConsensusState, type LeaderRole } from './consensus-state.js';
import type { EntryContent } from './log.js';
import {
  changedMembership,
  findMember,
  type MemberChange,
  type Membership,
  type NodeId,
} from './membership.js';
import { replicateToAll } from './replication.js';
import { appendOwnEntry, refreshProgress } from './roles.js';

/**
 * How far a learner may lag behind to get a vote, in entries: few enough to be sent in one batch, so that commits that need its
 * vote soon don't wait for it to catch up. Not measured; commits that rest after a promotion would show it too large.
 */
const MAX_PROMOTION_LAG = 100;

/**
 * Appends a command and sends it on at once; the own write goes on meanwhile.
 */
export function handlePropose(scope: StepScope, proposalId: number, data: Uint8Array): void {
  if (leaderWhichTakesProposals(scope, proposalId) !== undefined) {
    appendProposal(scope, proposalId, { type: 'command', data });
  }
}

/**
 * Appends a membership change. One at a time, and only once an entry of the own term is committed,
 * since otherwise two leaders could each change the membership without a common quorum.
 */
export function handleChangeMembership(
  scope: StepScope,
  proposalId: number,
  change: MemberChange,
): void {
  const { state } = scope;
  const role = leaderWhichTakesProposals(scope, proposalId);
  if (role === undefined) {
    return;
  }
  const membership = changedMembership(currentMembership(state), change);
  if (membership === undefined) {
    const reason = 'The members are not such that this change applies.';
    refuse(scope, proposalId, 'conflict', reason);
    return;
  }
  const obstacle = obstacleOf(scope, role, change, membership);
  if (obstacle !== undefined) {
    refuse(scope, proposalId, 'conflict', obstacle);
    return;
  }
  appendProposal(scope, proposalId, { type: 'membership', membership });
}

function obstacleOf(
  scope: StepScope,
  role: LeaderRole,
  change: MemberChange,
  membership: Membership,
): string | undefined {
  const { state } = scope;
  const pending = state.memberships.at(-1)?.index ?? 0;
  if (pending > state.commitIndex || state.commitIndex < role.termStartIndex) {
    return 'Another membership change is under way.';
  }
  const isPromotion = change.type === 'promote-member' || change.type === 'replace-member';
  if (isPromotion && !hasCaughtUp(state, role, change.nodeId)) {
    return `Member ${change.nodeId} has not caught up.`;
  }
  if (!hasQuorumContact(scope, role, membership)) {
    return 'Too few of the voters that this leaves answer now.';
  }
  return undefined;
}

function hasCaughtUp(state: ConsensusState, role: LeaderRole, nodeId: NodeId): boolean {
  const progress = role.progress.get(nodeId);
  return (
    findMember(currentMembership(state), nodeId) !== undefined &&
    progress?.mode === 'replicate' &&
    state.log.last.index - progress.matchIndex <= MAX_PROMOTION_LAG
  );
}

function appendProposal(scope: StepScope, proposalId: number, content: EntryContent): void {
  const { index, term } = appendOwnEntry(scope.state, content);
  scope.effects.push({ type: 'proposal-appended', proposalId, index, term });
  refreshProgress(scope);
  replicateToAll(scope, { evenIfEmpty: false });
}

function leaderWhichTakesProposals(scope: StepScope, proposalId: number): LeaderRole | undefined {
  const { role, storageFailed } = scope.state;
  if (role.name === 'leader' && role.leadershipTransfer === undefined) {
    return role;
  }
  if (storageFailed) {
    refuse(scope, proposalId, 'storage-failed', 'This machine can not write its log.');
  } else {
    refuse(scope, proposalId, 'not-leader', 'This machine does not lead.');
  }
  return undefined;
}

function refuse(scope: StepScope, proposalId: number, kind: RefusalKind, reason: string): void {
  scope.effects.push({ type: 'proposal-refused', proposalId, kind, reason });
}
