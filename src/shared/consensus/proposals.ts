/**
 * @file Proposals of commands and membership changes at the leader. Refused proposals leave no entry in the log. A
 * membership change is refused if the resulting voters have no responsive quorum, since the group could then not commit.
 */
import { hasQuorumContact } from './check-quorum.js';
import type { RefusalKind, StepScope } from './consensus-events.js';
import { currentMembership, type ConsensusState, type LeaderRole } from './consensus-state.js';
import type { EntryContent } from './log.js';
import {
  applyMemberChange,
  findMember,
  type MemberChange,
  type Membership,
  type NodeId,
} from './membership.js';
import { replicateToAll } from './replication.js';
import { appendOwnEntry, updateProgressMembers } from './roles.js';

/** Few enough for one batch, so that commits do not wait long for a newly promoted voter. */
const MAX_PROMOTION_LAG_ENTRIES = 100;

/**
 * Appends a command and replicates it in parallel with the leader's own disk write.
 */
export function handlePropose(scope: StepScope, proposalId: number, data: Uint8Array): void {
  if (leaderAcceptingProposals(scope, proposalId) !== undefined) {
    appendProposal(scope, proposalId, { type: 'command', data });
  }
}

/**
 * Appends a membership change. Only one may be in progress, and an entry of the current term must be committed first:
 * otherwise two leaders could change the membership without overlapping quorums.
 */
export function handleChangeMembership(
  scope: StepScope,
  proposalId: number,
  change: MemberChange,
): void {
  const { state } = scope;
  const role = leaderAcceptingProposals(scope, proposalId);
  if (role === undefined) {
    return;
  }
  const membership = applyMemberChange(currentMembership(state), change);
  if (membership === undefined) {
    const reason = 'This change does not apply to the current members.';
    refuse(scope, proposalId, 'conflict', reason);
    return;
  }
  const conflict = findConflict(scope, role, change, membership);
  if (conflict !== undefined) {
    refuse(scope, proposalId, 'conflict', conflict);
    return;
  }
  appendProposal(scope, proposalId, { type: 'membership', membership });
}

function findConflict(
  scope: StepScope,
  role: LeaderRole,
  change: MemberChange,
  membership: Membership,
): string | undefined {
  const { state } = scope;
  const pending = state.memberships.at(-1)?.index ?? 0;
  if (pending > state.commitIndex || state.commitIndex < role.termStartIndex) {
    return 'Another membership change is in progress, or the leader has not committed an entry of its term yet.';
  }
  const isPromotion = change.type === 'promote-member' || change.type === 'replace-member';
  if (isPromotion && !hasCaughtUp(state, role, change.nodeId)) {
    return `Member ${change.nodeId} has not caught up.`;
  }
  if (!hasQuorumContact(scope, role, membership)) {
    return 'Too few of the voters after this change are responding to form a quorum.';
  }
  return undefined;
}

function hasCaughtUp(state: ConsensusState, role: LeaderRole, nodeId: NodeId): boolean {
  const progress = role.progress.get(nodeId);
  return (
    findMember(currentMembership(state), nodeId) !== undefined &&
    progress?.mode === 'replicate' &&
    state.log.last.index - progress.matchIndex <= MAX_PROMOTION_LAG_ENTRIES
  );
}

function appendProposal(scope: StepScope, proposalId: number, content: EntryContent): void {
  const { index, term } = appendOwnEntry(scope.state, content);
  scope.effects.push({ type: 'proposal-appended', proposalId, index, term });
  updateProgressMembers(scope);
  replicateToAll(scope, { evenIfEmpty: false });
}

function leaderAcceptingProposals(scope: StepScope, proposalId: number): LeaderRole | undefined {
  const { role, storageFailed } = scope.state;
  if (role.name === 'leader' && role.leadershipTransfer === undefined) {
    return role;
  }
  if (storageFailed) {
    refuse(scope, proposalId, 'storage-failed', 'This machine cannot write its log.');
  } else {
    refuse(scope, proposalId, 'not-leader', 'This machine is not the leader.');
  }
  return undefined;
}

function refuse(scope: StepScope, proposalId: number, kind: RefusalKind, reason: string): void {
  scope.effects.push({ type: 'proposal-refused', proposalId, kind, reason });
}
