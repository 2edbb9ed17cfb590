/**
 * @file Log replication at the leader: sends each member its missing entries in a bounded number of batches, a
 * heartbeat if none are missing, or a snapshot if the log no longer contains them.
 */
import type { StepScope } from './consensus-events.js';
import type { LeaderRole, Progress } from './consensus-state.js';
import type { LogEntry } from './log.js';
import type { NodeId } from './membership.js';
import { sendNow } from './roles.js';
import { resendSnapshotChunk, sendSnapshotChunk } from './snapshot-install.js';

/** Options for sending to members. */
export interface SendOptions {
  /** Sends an append request even without new entries: a heartbeat, or a new commit index. */
  readonly evenIfEmpty: boolean;
}

/**
 * Sends every other member its missing entries or snapshot chunk.
 */
export function replicateToAll(scope: StepScope, options: SendOptions): void {
  const { role } = scope.state;
  if (role.name === 'leader') {
    for (const nodeId of role.progress.keys()) {
      replicateTo(scope, role, nodeId, options);
    }
  }
}

/**
 * Sends one member its missing entries or snapshot chunk.
 */
export function replicateTo(
  scope: StepScope,
  role: LeaderRole,
  nodeId: NodeId,
  options: SendOptions,
): void {
  const progress = role.progress.get(nodeId);
  if (progress === undefined) {
    return;
  }
  if (progress.mode !== 'snapshot') {
    sendBatches(scope, role, nodeId, progress, options);
  } else if (options.evenIfEmpty) {
    resendSnapshotChunk(scope, nodeId, progress);
    sendAppend(scope, role, nodeId, progress, []);
  }
}

function sendBatches(
  scope: StepScope,
  role: LeaderRole,
  nodeId: NodeId,
  progress: Progress,
  options: SendOptions,
): void {
  const { log, options: limits } = scope.state;
  if (log.termAt(progress.nextIndex - 1) === undefined) {
    // Applies even if the window is full: batches in flight may be lost and can no longer be resent.
    startSnapshot(scope, nodeId, progress);
    return;
  }
  const window = progress.mode === 'probe' ? 1 : limits.maxInFlightBatches;
  let sent = 0;
  while (progress.inFlight.length < window && progress.nextIndex <= log.last.index) {
    const batch = log.batchFrom(progress.nextIndex, limits.maxBatchEntries, limits.maxBatchBytes);
    sendAppend(scope, role, nodeId, progress, batch);
    progress.nextIndex += batch.length;
    progress.inFlight.push(progress.nextIndex - 1);
    sent += 1;
  }
  if (sent === 0 && options.evenIfEmpty) {
    sendAppend(scope, role, nodeId, progress, []);
  }
}

function startSnapshot(scope: StepScope, nodeId: NodeId, progress: Progress): void {
  const { snapshot } = scope.state;
  if (snapshot === undefined) {
    return;
  }
  progress.mode = 'snapshot';
  progress.inFlight = [];
  progress.nextIndex = progress.matchIndex + 1;
  progress.outgoingSnapshot = { snapshot, offset: 0, sentAtMs: scope.context.nowMs };
  sendSnapshotChunk(scope, nodeId, progress);
}

function sendAppend(
  scope: StepScope,
  role: LeaderRole,
  nodeId: NodeId,
  progress: Progress,
  entries: readonly LogEntry[],
): void {
  const { log, term, commitIndex } = scope.state;
  const expectedIndex = progress.nextIndex - 1;
  const previousTerm = log.termAt(expectedIndex);
  // Index 0 matches any log, so this also serves as a heartbeat while a snapshot is being sent.
  const previousIndex = previousTerm === undefined ? 0 : expectedIndex;
  sendNow(scope, nodeId, {
    type: 'append-request',
    term,
    previousIndex,
    previousTerm: previousTerm ?? 0,
    entries,
    commitIndex: Math.min(commitIndex, previousIndex + entries.length),
    round: role.round,
  });
}
