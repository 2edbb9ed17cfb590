/**
 * @file When may a read be answered?
 *
 * Inputs: the confirmation round that each voter has echoed last, the commit index, and the index at which the term
 * began. A leader answers a read only once a quorum has echoed a round that began after the read came: then no later
 * leader existed at that time, and the answer is not out of date (read index of Raft). It holds reads until an entry of
 * its own term is committed, since it does not know what is committed before.
 *
 * Owns `LeaderRole.round` and `LeaderRole.pendingReads`.
 */
import type { StepScope } from './consensus-events.js';
import { currentMembership, type ConsensusState, type LeaderRole } from './consensus-state.js';
import { quorumSize, reachedByVoters, type NodeId } from './membership.js';
import { replicateToAll } from './replication.js';

/**
 * Begins a read; answered by `read-ready` or `read-refused`.
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

/** The leader itself has confirmed each round that it began. */
function confirmedRound(state: ConsensusState, role: LeaderRole): number {
  const membership = currentMembership(state);
  const roundOf = (nodeId: NodeId) =>
    nodeId === state.nodeId ? role.round : (role.progress.get(nodeId)?.ackedRound ?? 0);
  return reachedByVoters(membership, quorumSize(membership), roundOf);
}
