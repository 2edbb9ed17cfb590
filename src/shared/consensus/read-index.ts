/**
 * @file Linearizable reads (Raft read index): a leader answers a read once a quorum has echoed a confirmation round that
 * started after the read arrived, so that it was still the leader at that time.
 */
import type { StepScope } from './consensus-events.js';
import { currentMembership, type ConsensusState, type LeaderRole } from './consensus-state.js';
import { quorumSize, highestReachedByVoters, type NodeId } from './membership.js';
import { replicateToAll } from './replication.js';

/**
 * Starts a read, which is answered by `read-ready` or `read-refused`.
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
  startConfirmationRound(scope, role);
}

/**
 * Starts a confirmation round for the reads that waited for the term's first commit.
 */
export function startWaitingReads(scope: StepScope): void {
  const { role } = scope.state;
  if (role.name === 'leader' && role.pendingReads.some(({ round }) => round === undefined)) {
    startConfirmationRound(scope, role);
  }
}

/**
 * Answers the reads whose confirmation round a quorum has echoed.
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

/** Waits for an entry of the current term to be committed; until then the commit index may be out of date. */
function startConfirmationRound(scope: StepScope, role: LeaderRole): void {
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

/** Highest round echoed by a quorum; the leader counts as having echoed every round. */
function confirmedRound(state: ConsensusState, role: LeaderRole): number {
  const membership = currentMembership(state);
  const roundOf = (nodeId: NodeId) =>
    nodeId === state.nodeId ? role.round : (role.progress.get(nodeId)?.ackedRound ?? 0);
  return highestReachedByVoters(membership, quorumSize(membership), roundOf);
}
