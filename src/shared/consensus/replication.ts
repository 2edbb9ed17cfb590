/**
 * @file What a leader sends to each member: the entries that it lacks, in batches of which a bounded number is under
 * way, a heartbeat where it lacks none, or a snapshot where the log no longer holds what it lacks.
 *
 * Owns the sending part of a member's `Progress` (`nextIndex`, `inFlight`, `mode` towards `snapshot`); what comes back
 * is recorded by `acknowledgements.ts`.
 */
import type { StepScope } from './consensus-events.js';
import type { LeaderRole, Progress } from './consensus-state.js';
import type { LogEntry } from './log.js';
import type { NodeId } from './membership.js';
import { sendNow } from './roles.js';
import { resendSnapshotChunk, sendSnapshotChunk } from './snapshot-install.js';

/** What is sent to a member that lacks nothing. */
export interface SendOptions {
  /** Send also where there is no new entry: as a heartbeat, or since the commit index has changed. */
  readonly evenIfEmpty: boolean;
}

/**
 * Sends each other member what it lacks.
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
 * Sends one member what it lacks.
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
    // Also where the window is full: what is under way may be lost, and can't be sent again.
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
  progress.sending = { snapshot, offset: 0, sentAtMs: scope.context.nowMs };
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
  const wanted = progress.nextIndex - 1;
  const previousTerm = log.termAt(wanted);
  // A member that is still being sent a snapshot is kept from campaigning by an append that fits all.
  const previousIndex = previousTerm === undefined ? 0 : wanted;
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
