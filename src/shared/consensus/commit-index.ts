/**
 * @file Advances the leader's commit index to the highest index that a quorum, and at least `minimumCopies` voters, have
 * on disk. Only entries of the leader's current term are counted; a later leader could still overwrite an older entry
 * that a quorum holds (Raft, section 5.4.2).
 */
import type { StepScope } from './consensus-events.js';
import { currentMembership, type ConsensusState, type LeaderRole } from './consensus-state.js';
import { commitQuorumSize, findMember, highestReachedByVoters, type NodeId } from './membership.js';
import { startWaitingReads } from './read-index.js';
import { replicateToAll } from './replication.js';
import { advanceCommitIndex, becomeFollower } from './roles.js';

/** Adds nothing to the quorum rule. */
const DEFAULT_MINIMUM_COPIES = 1;

/**
 * Commits entries that enough voters have on disk and sends the new commit index to all members.
 */
export function commitReplicatedEntries(scope: StepScope): void {
  const { state } = scope;
  const { role } = state;
  if (role.name !== 'leader') {
    return;
  }
  const index = replicatedIndex(state, role);
  if (index > state.commitIndex && state.log.termAt(index) === state.term) {
    advanceCommitIndex(scope, index);
    startWaitingReads(scope);
    replicateToAll(scope, { evenIfEmpty: true });
    stepDownIfRemoved(scope);
  }
}

function replicatedIndex(state: ConsensusState, role: LeaderRole): number {
  const membership = currentMembership(state);
  const requiredVoters = commitQuorumSize(
    membership,
    state.options.minimumCopies ?? DEFAULT_MINIMUM_COPIES,
  );
  return highestReachedByVoters(membership, requiredVoters, (nodeId) =>
    persistedIndexOf(state, role, nodeId),
  );
}

function persistedIndexOf(state: ConsensusState, role: LeaderRole, nodeId: NodeId): number {
  return nodeId === state.nodeId
    ? state.persistedIndex
    : (role.progress.get(nodeId)?.matchIndex ?? 0);
}

/** A removed leader steps down once its removal is committed. */
function stepDownIfRemoved(scope: StepScope): void {
  const { state } = scope;
  const last = state.memberships.at(-1);
  const isMember = findMember(currentMembership(state), state.nodeId)?.role === 'voter';
  if (last !== undefined && last.index <= state.commitIndex && !isMember) {
    becomeFollower(scope, state.term, undefined);
  }
}
