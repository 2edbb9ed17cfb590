/**
 * @file Log compaction and snapshot transfer. Chunks are sent one at a time, the next when the member requests it.
 */
import type { StepScope } from './consensus-events.js';
import {
  currentMembership,
  followerOrLearnerRole,
  type ConsensusState,
  type Progress,
} from './consensus-state.js';
import { findMember, emptyMembership, type NodeId } from './membership.js';
import type { Sender, SnapshotChunk, SnapshotChunkResponse } from './messages.js';
import type { Snapshot } from './persisted-state.js';
import { advanceCommitIndex, sendNow, sendPersisted } from './roles.js';

/**
 * Stores a snapshot of the state machine and compacts the log before it, except for `trailingEntries`.
 */
export function handleSnapshotTaken(state: ConsensusState, index: number, data: Uint8Array): void {
  const term = state.log.termAt(index);
  const isNew = index > (state.snapshot?.index ?? 0) && index <= state.commitIndex;
  if (term === undefined || !isNew) {
    return;
  }
  state.snapshot = { index, term, membership: membershipAt(state, index), data };
  state.memberships = state.memberships.filter(
    (entry, position) =>
      entry.index > index || (state.memberships[position + 1]?.index ?? Infinity) > index,
  );
  state.log.compactTo(index - state.options.trailingEntries);
  state.persistence.isSnapshotPending = true;
}

function membershipAt(state: ConsensusState, index: number) {
  const latest = state.memberships.findLast((candidate) => candidate.index <= index);
  return latest?.membership ?? emptyMembership;
}

/**
 * Sends the snapshot chunk that the member needs next.
 */
export function sendSnapshotChunk(scope: StepScope, to: NodeId, progress: Progress): void {
  const { state } = scope;
  if (progress.outgoingSnapshot === undefined) {
    return;
  }
  const { snapshot, offset } = progress.outgoingSnapshot;
  progress.outgoingSnapshot.sentAtMs = scope.context.nowMs;
  sendNow(scope, to, {
    type: 'snapshot-chunk',
    term: state.term,
    snapshotIndex: snapshot.index,
    snapshotTerm: snapshot.term,
    membership: snapshot.membership,
    offset,
    totalBytes: snapshot.data.length,
    data: snapshot.data.subarray(offset, offset + state.options.snapshotChunkBytes),
  });
}

/**
 * Resends the current chunk if it has had no response for a heartbeat interval.
 */
export function resendSnapshotChunk(scope: StepScope, to: NodeId, progress: Progress): void {
  const { options } = scope.state;
  const sentAtMs = progress.outgoingSnapshot?.sentAtMs ?? scope.context.nowMs;
  if (scope.context.nowMs - sentAtMs >= options.heartbeatIntervalMs) {
    sendSnapshotChunk(scope, to, progress);
  }
}

/**
 * Handles a member's request for the next chunk, at the leader.
 */
export function handleSnapshotChunkResponse(
  scope: StepScope,
  from: Sender,
  response: SnapshotChunkResponse,
): void {
  const { state, context } = scope;
  const member = findMember(currentMembership(state), from.nodeId);
  if (state.role.name !== 'leader' || response.term !== state.term) {
    return;
  }
  const progress = state.role.progress.get(from.nodeId);
  if (progress?.outgoingSnapshot === undefined || member?.storageId !== from.storageId) {
    return;
  }
  progress.receivedAtMs = context.nowMs;
  const { outgoingSnapshot: outgoing } = progress;
  const isNext =
    response.snapshotIndex === outgoing.snapshot.index && response.nextOffset !== outgoing.offset;
  if (isNext) {
    outgoing.offset = response.nextOffset;
    sendSnapshotChunk(scope, from.nodeId, progress);
  }
}

/**
 * Handles a snapshot chunk at the receiver. A complete snapshot replaces state machine and log, and is acknowledged once
 * it is on disk.
 */
export function handleSnapshotChunk(scope: StepScope, from: Sender, chunk: SnapshotChunk): void {
  const { state } = scope;
  if (state.log.termAt(chunk.snapshotIndex) === chunk.snapshotTerm) {
    // The log already contains the snapshot's entries, and later ones may have been acknowledged: keep it.
    advanceCommitIndex(scope, chunk.snapshotIndex);
  }
  if (chunk.snapshotIndex <= state.commitIndex) {
    state.incomingSnapshot = undefined;
    acknowledgeSnapshot(scope, from, state.commitIndex);
    return;
  }
  const incoming = collectChunk(state, chunk);
  if (incoming.receivedBytes < incoming.totalBytes) {
    sendNow(scope, from.nodeId, {
      type: 'snapshot-chunk-response',
      term: state.term,
      snapshotIndex: chunk.snapshotIndex,
      nextOffset: incoming.receivedBytes,
    });
    return;
  }
  state.incomingSnapshot = undefined;
  const { index, term, membership } = incoming;
  installSnapshot(scope, { index, term, membership, data: Buffer.concat(incoming.chunks) });
  acknowledgeSnapshot(scope, from, index);
}

function collectChunk(state: ConsensusState, chunk: SnapshotChunk) {
  const current = state.incomingSnapshot;
  const isSame = current?.index === chunk.snapshotIndex && current.term === chunk.snapshotTerm;
  const incoming =
    isSame && current.totalBytes === chunk.totalBytes
      ? current
      : {
          index: chunk.snapshotIndex,
          term: chunk.snapshotTerm,
          membership: chunk.membership,
          totalBytes: chunk.totalBytes,
          chunks: [],
          receivedBytes: 0,
        };
  state.incomingSnapshot = incoming;
  if (chunk.offset === incoming.receivedBytes) {
    incoming.chunks.push(chunk.data);
    incoming.receivedBytes += chunk.data.length;
  }
  return incoming;
}

function installSnapshot({ state, effects }: StepScope, snapshot: Snapshot): void {
  const { index, term, membership } = snapshot;
  state.snapshot = snapshot;
  state.log.reset({ index, term });
  state.commitIndex = index;
  state.memberships = [{ index, membership }];
  state.persistence.records = [];
  state.persistence.isSnapshotPending = true;
  state.persistedIndex = Math.min(state.persistedIndex, index);
  if (state.persistence.inFlight !== undefined) {
    state.persistence.inFlight.lastIndex = state.persistedIndex;
  }
  if (state.role.name === 'follower' || state.role.name === 'learner') {
    state.role = followerOrLearnerRole(state);
  }
  effects.push({ type: 'restore-snapshot', snapshot });
}

function acknowledgeSnapshot(scope: StepScope, from: Sender, matchIndex: number): void {
  sendPersisted(scope, from.nodeId, {
    type: 'append-response',
    term: scope.state.term,
    round: 0,
    success: true,
    matchIndex,
  });
}
