/**
 * @file What a leader learns from a member's answer to entries or a heartbeat: how far the member's disk is, and that
 * the member still follows. All that waits for this goes on from here: the commit index, reads, the next batch, a
 * leadership transfer.
 *
 * Owns the receiving part of a member's `Progress` (`matchIndex`, `ackedRound`, `receivedAtMs`). An answer counts only
 * from the disk that the membership names: a machine that lost its disk has acknowledged nothing.
 */
import { commitByCounting } from './commit-rule.js';
import type { StepScope } from './consensus-events.js';
import { currentMembership, type Progress } from './consensus-state.js';
import { continueLeadershipTransfer } from './leadership-transfer.js';
import { findMember } from './membership.js';
import type { AppendResponse, Sender } from './messages.js';
import { confirmReads } from './read-index.js';
import { replicateTo } from './replication.js';

/**
 * Records a member's answer to entries or a heartbeat, and does what it makes possible.
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
  commitByCounting(scope);
  confirmReads(scope);
  if (scope.state.role === role) {
    replicateTo(scope, role, from.nodeId, { evenIfEmpty: false });
    continueLeadershipTransfer(scope);
  }
}

/** The member's log equals this leader's up to `matchIndex`, and lies on its disk. */
function recordMatch(progress: Progress, matchIndex: number): void {
  progress.matchIndex = Math.max(progress.matchIndex, matchIndex);
  progress.inFlight = progress.inFlight.filter((lastIndex) => lastIndex > progress.matchIndex);
  const hasSnapshot =
    progress.sending !== undefined && progress.matchIndex >= progress.sending.snapshot.index;
  if (progress.mode === 'snapshot' && !hasSnapshot) {
    return;
  }
  if (progress.mode !== 'replicate') {
    progress.mode = 'replicate';
    progress.sending = undefined;
    progress.inFlight = [];
    progress.nextIndex = progress.matchIndex + 1;
  }
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
}

/** The logs differ at `rejectedIndex`: probing goes on at the hint, never before what is known to match. */
function recordMismatch(progress: Progress, rejectedIndex: number, hintIndex: number): void {
  const isStale = rejectedIndex <= progress.matchIndex || rejectedIndex >= progress.nextIndex;
  if (isStale || progress.mode === 'snapshot') {
    return;
  }
  progress.mode = 'probe';
  progress.inFlight = [];
  progress.nextIndex = Math.max(progress.matchIndex, Math.min(rejectedIndex - 1, hintIndex)) + 1;
}
