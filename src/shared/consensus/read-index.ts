/**
 * @file Reads that never answer from the past: a leader answers one only after a quorum has confirmed,
 * by echoing a round that began after the read came, that no later leader exists.
 */
import type { StepScope } from './consensus-events.js';
import { currentMembership, type ConsensusState, type LeaderRole } from './consensus-state.js';
import { quorumSize, votersOf } from './membership.js';
import { replicateToAll } from './replication.js';

/**
 * Takes a read.
 */
export function handleRead(scope: StepScope, readId: number): void {
  const { state, effects } = scope;
  const { role } = state;
  if (role.name !== 'leader') {
    const kind = state.storageFailed ? 'storage-failed' : 'not-leader';
    effects.push({ type: 'read-refused', readId, kind });
    return;
  }
  role.pendingReads.push({ readId, round: undefined });
  startRound(scope, role);
}

/**
 * The term's first entry may be committed now: reads that waited for it begin their round.
 */
export function releaseWaitingReads(scope: StepScope): void {
  const { role } = scope.state;
  if (role.name === 'leader' && role.pendingReads.some(({ round }) => round === undefined)) {
    startRound(scope, role);
  }
}

/**
 * Answers the reads whose round a quorum has echoed.
 */
export function confirmReads(scope: StepScope): void {
  const { state, effects } = scope;
  const { role } = state;
  if (role.name !== 'leader' || role.pendingReads.length === 0) {
    return;
  }
  const confirmed = confirmedRound(state, role);
  const isReady = (round: number | undefined) => round !== undefined && round <= confirmed;
  for (const { readId, round } of role.pendingReads) {
    if (isReady(round)) {
      effects.push({ type: 'read-ready', readId });
    }
  }
  role.pendingReads = role.pendingReads.filter(({ round }) => !isReady(round));
}

/** Until an entry of its own term is committed, a leader does not know what is committed. */
function startRound(scope: StepScope, role: LeaderRole): void {
  if (scope.state.commitIndex < role.termStartIndex) {
    return;
  }
  role.round += 1;
  for (const read of role.pendingReads) {
    read.round ??= role.round;
  }
  replicateToAll(scope, { evenIfEmpty: true });
  confirmReads(scope);
}

function confirmedRound(state: ConsensusState, role: LeaderRole): number {
  const membership = currentMembership(state);
  const rounds = votersOf(membership)
    .map(({ nodeId }) =>
      nodeId === state.nodeId ? role.round : (role.progress.get(nodeId)?.ackedRound ?? 0),
    )
    .sort((a, b) => b - a);
  return rounds[quorumSize(membership) - 1] ?? 0;
}
