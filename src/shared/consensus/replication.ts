/**
 * @file The leader's side of replication: sends entries with bounded batches under way, learns how far
 * each member is, and commits what a quorum has on disk.
 */
import type { StepScope } from './consensus-events.js';
import {
  currentMembership,
  type ConsensusState,
  type LeaderRole,
  type Progress,
} from './consensus-state.js';
import type { LogEntry } from './log.js';
import {
  commitSize,
  findMember,
  quorumSize,
  votersOf,
  type Membership,
  type NodeId,
} from './membership.js';
import type { AppendResponse, Sender } from './messages.js';
import { confirmReads, releaseWaitingReads } from './read-index.js';
import { advanceCommit, becomeFollower, sendNow } from './roles.js';
import { resendSnapshotChunk, sendSnapshotChunk } from './snapshot-install.js';
import { continueLeadershipTransfer } from './leadership-transfer.js';

/** How eagerly to send. */
export interface SendOptions {
  /** Send also where there is no new entry, as a heartbeat or to tell a new commit index. */
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

function replicateTo(
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

/**
 * Takes a member's answer to entries or a heartbeat.
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

function recordMismatch(progress: Progress, rejectedIndex: number, hintIndex: number): void {
  const isStale = rejectedIndex <= progress.matchIndex || rejectedIndex >= progress.nextIndex;
  if (isStale || progress.mode === 'snapshot') {
    return;
  }
  progress.mode = 'probe';
  progress.inFlight = [];
  progress.nextIndex = Math.max(progress.matchIndex, Math.min(rejectedIndex - 1, hintIndex)) + 1;
}

/**
 * Commits the highest index of the own term that a quorum of voters has on disk; older entries are
 * committed along with it, never by counting.
 */
export function commitByCounting(scope: StepScope): void {
  const { state } = scope;
  const { role } = state;
  if (role.name !== 'leader') {
    return;
  }
  const membership = currentMembership(state);
  const matches = votersOf(membership)
    .map((voter) => matchOf(state, role, voter.nodeId))
    .sort((a, b) => b - a);
  const index = matches[commitSize(membership, state.options.minimumCopies ?? 1) - 1] ?? 0;
  if (index > state.commitIndex && state.log.termAt(index) === state.term) {
    advanceCommit(scope, index);
    releaseWaitingReads(scope);
    replicateToAll(scope, { evenIfEmpty: true });
    stepDownWhereRemoved(scope);
  }
}

function matchOf(state: ConsensusState, role: LeaderRole, nodeId: NodeId): number {
  return nodeId === state.nodeId
    ? state.persistedIndex
    : (role.progress.get(nodeId)?.matchIndex ?? 0);
}

/** A leader that a committed change removed leads on until then, and no longer. */
function stepDownWhereRemoved(scope: StepScope): void {
  const { state } = scope;
  const last = state.memberships.at(-1);
  const isMember = findMember(currentMembership(state), state.nodeId)?.role === 'voter';
  if (last !== undefined && last.index <= state.commitIndex && !isMember) {
    becomeFollower(scope, state.term, undefined);
  }
}

/**
 * Sends heartbeats, and steps down where no quorum was heard from within an election timeout.
 */
export function leaderTick(scope: StepScope): void {
  const { state, context } = scope;
  const { role, options } = state;
  if (role.name !== 'leader') {
    return;
  }
  if (!hasQuorumContact(scope, role, currentMembership(state))) {
    becomeFollower(scope, state.term, undefined, 'no-quorum');
    return;
  }
  if (context.nowMs >= role.nextHeartbeatAtMs) {
    role.nextHeartbeatAtMs = context.nowMs + options.heartbeatIntervalMs;
    replicateToAll(scope, { evenIfEmpty: true });
  }
  continueLeadershipTransfer(scope);
}

/**
 * @returns true where enough voters of a membership have answered within an election timeout
 */
export function hasQuorumContact(
  { state, context }: StepScope,
  role: LeaderRole,
  membership: Membership,
): boolean {
  const since = context.nowMs - state.options.electionTimeoutMs;
  const heard = votersOf(membership).filter(
    ({ nodeId }) =>
      nodeId === state.nodeId || (role.progress.get(nodeId)?.receivedAtMs ?? 0) >= since,
  );
  return heard.length >= quorumSize(membership);
}
