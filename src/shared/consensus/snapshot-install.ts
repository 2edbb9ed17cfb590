/**
 * @file Snapshots: compacting the log, and sending a snapshot in parts to a member that lags behind the
 * log. Parts are sent one at a time; the next is sent when the member asks for it.
 */
import type { StepScope } from './consensus-events.js';
import {
  currentMembership,
  restingRole,
  type ConsensusState,
  type Progress,
} from './consensus-state.js';
import { findMember, noMembers, type NodeId } from './membership.js';
import type { Sender, SnapshotChunk, SnapshotChunkResponse } from './messages.js';
import type { Snapshot } from './persisted-state.js';
import { advanceCommit, sendNow, sendPersisted } from './roles.js';

/**
 * Keeps a snapshot of the state machine and drops the log before it, but for a tail.
 */
export function handleSnapshotTaken(state: ConsensusState, index: number, data: Uint8Array): void {
  const term = state.log.termAt(index);
  const isNew = index > (state.snapshot?.index ?? 0) && index <= state.commitIndex;
  if (term === undefined || !isNew) {
    return;
  }
  state.snapshot = { index, term, membership: membershipAt(state, index), data };
  state.memberships = state.memberships.filter(
    (set, position) =>
      set.index > index || (state.memberships[position + 1]?.index ?? Infinity) > index,
  );
  state.log.compactTo(index - state.options.trailingEntries);
  state.persistence.snapshotIsDue = true;
}

function membershipAt(state: ConsensusState, index: number) {
  const set = state.memberships.findLast((candidate) => candidate.index <= index);
  return set?.membership ?? noMembers;
}

/**
 * Sends the part of the snapshot that the member wants next.
 */
export function sendSnapshotChunk(scope: StepScope, to: NodeId, progress: Progress): void {
  const { state } = scope;
  if (progress.sending === undefined) {
    return;
  }
  const { snapshot, offset } = progress.sending;
  progress.sending.sentAtMs = scope.context.nowMs;
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
 * Sends the part once more where no answer has come for a heartbeat interval.
 */
export function resendSnapshotChunk(scope: StepScope, to: NodeId, progress: Progress): void {
  const { options } = scope.state;
  const sentAtMs = progress.sending?.sentAtMs ?? scope.context.nowMs;
  if (scope.context.nowMs - sentAtMs >= options.heartbeatIntervalMs) {
    sendSnapshotChunk(scope, to, progress);
  }
}

/**
 * The leader's side: a member asks for the next part.
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
  if (progress?.sending === undefined || member?.storageId !== from.storageId) {
    return;
  }
  progress.receivedAtMs = context.nowMs;
  const { sending } = progress;
  const isNext =
    response.snapshotIndex === sending.snapshot.index && response.nextOffset !== sending.offset;
  if (isNext) {
    sending.offset = response.nextOffset;
    sendSnapshotChunk(scope, from.nodeId, progress);
  }
}

/**
 * The member's side: gathers the parts; the whole snapshot replaces state machine and log, and is
 * acknowledged once it is on disk.
 */
export function handleSnapshotChunk(scope: StepScope, from: Sender, chunk: SnapshotChunk): void {
  const { state } = scope;
  if (state.log.termAt(chunk.snapshotIndex) === chunk.snapshotTerm) {
    // The log has all that the snapshot holds, and may have acknowledged entries after it.
    advanceCommit(scope, chunk.snapshotIndex);
  }
  if (chunk.snapshotIndex <= state.commitIndex) {
    state.incomingSnapshot = undefined;
    acknowledgeSnapshot(scope, from, state.commitIndex);
    return;
  }
  const incoming = gatherChunk(state, chunk);
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

function gatherChunk(state: ConsensusState, chunk: SnapshotChunk) {
  const known = state.incomingSnapshot;
  const isSame = known?.index === chunk.snapshotIndex && known.term === chunk.snapshotTerm;
  const incoming =
    isSame && known.totalBytes === chunk.totalBytes
      ? known
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
  state.persistence.snapshotIsDue = true;
  state.persistedIndex = Math.min(state.persistedIndex, index);
  if (state.persistence.inFlight !== undefined) {
    state.persistence.inFlight.lastIndex = state.persistedIndex;
  }
  if (state.role.name === 'follower' || state.role.name === 'learner') {
    state.role = restingRole(state);
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
