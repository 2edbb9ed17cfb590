/**
 * @file Handles append responses at the leader: updates a member's progress, then the commit index, pending reads,
 * replication and a leadership transfer. Responses count only from the storage ID in the membership.
 */
import { commitReplicatedEntries } from './commit-index.js';
import type { StepScope } from './consensus-events.js';
import { currentMembership, type Progress } from './consensus-state.js';
import { continueLeadershipTransfer } from './leadership-transfer.js';
import { findMember } from './membership.js';
import type { AppendResponse, Sender } from './messages.js';
import { confirmReads } from './read-index.js';
import { replicateTo } from './replication.js';

/**
 * Records a member's response to entries or a heartbeat and continues the work that depends on it.
 */
export function handleAppendResponse(
  scope: StepScope,
  from: Sender,
  response: AppendResponse,
): void {
  const { state, context } = scope;
  const { role } = state;
  const member = findMember(currentMembership(state), from.nodeId);
  if (role.name !== 'leader' || response.term !== state.term) {
    return;
  }
  const progress = role.progress.get(from.nodeId);
  if (progress === undefined || member?.storageId !== from.storageId) {
    return;
  }
  progress.receivedAtMs = context.nowMs;
  progress.ackedRound = Math.max(progress.ackedRound, response.round);
  if (response.success) {
    recordMatch(progress, response.matchIndex);
  } else {
    recordMismatch(progress, response.rejectedIndex, response.hintIndex);
  }
  commitReplicatedEntries(scope);
  confirmReads(scope);
  if (scope.state.role === role) {
    replicateTo(scope, role, from.nodeId, { evenIfEmpty: false });
    continueLeadershipTransfer(scope);
  }
}

/** The member's log matches the leader's up to `matchIndex` and is persisted up to there. */
function recordMatch(progress: Progress, matchIndex: number): void {
  progress.matchIndex = Math.max(progress.matchIndex, matchIndex);
  progress.inFlight = progress.inFlight.filter((lastIndex) => lastIndex > progress.matchIndex);
  const hasSnapshot =
    progress.outgoingSnapshot !== undefined &&
    progress.matchIndex >= progress.outgoingSnapshot.snapshot.index;
  if (progress.mode === 'snapshot' && !hasSnapshot) {
    return;
  }
  if (progress.mode !== 'replicate') {
    progress.mode = 'replicate';
    progress.outgoingSnapshot = undefined;
    progress.inFlight = [];
    progress.nextIndex = progress.matchIndex + 1;
  }
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
}

/** The logs differ at `rejectedIndex`: continues probing at the hint, but never below the match index. */
function recordMismatch(progress: Progress, rejectedIndex: number, hintIndex: number): void {
  const isStale = rejectedIndex <= progress.matchIndex || rejectedIndex >= progress.nextIndex;
  if (isStale || progress.mode === 'snapshot') {
    return;
  }
  progress.mode = 'probe';
  progress.inFlight = [];
  progress.nextIndex = Math.max(progress.matchIndex, Math.min(rejectedIndex - 1, hintIndex)) + 1;
}
