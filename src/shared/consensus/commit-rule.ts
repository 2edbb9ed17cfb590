/**
 * @file Which entries are committed?
 *
 * Inputs: the highest index on the disk of each voter, the membership, the term of each entry, and
 * `ConsensusOptions.minimumCopies` (a number of disks).
 *
 * Committed is the highest index that enough voters have on disk: a quorum, and at least `minimumCopies` of them, so that
 * `minimumCopies - 1` disks may be lost right after an acknowledgement. Only an entry of the leader's own term is
 * counted; older ones are committed along with it, since a later leader could still overwrite an older entry that a
 * quorum holds (Raft, section 5.4.2).
 */
import type { StepScope } from './consensus-events.js';
import { currentMembership, type ConsensusState, type LeaderRole } from './consensus-state.js';
import { commitSize, findMember, reachedByVoters, type NodeId } from './membership.js';
import { releaseWaitingReads } from './read-index.js';
import { replicateToAll } from './replication.js';
import { advanceCommit, becomeFollower } from './roles.js';

/** Disks that must hold an entry besides the quorum rule, where the options name no number: the quorum decides alone. */
const DEFAULT_MINIMUM_COPIES = 1;

/**
 * Commits what may be committed now, and lets the members know at once.
 */
export function commitByCounting(scope: StepScope): void {
  const { state } = scope;
  const { role } = state;
  if (role.name !== 'leader') {
    return;
  }
  const index = indexOnEnoughDisks(state, role);
  if (index > state.commitIndex && state.log.termAt(index) === state.term) {
    advanceCommit(scope, index);
    releaseWaitingReads(scope);
    replicateToAll(scope, { evenIfEmpty: true });
    stepDownWhereRemoved(scope);
  }
}

function indexOnEnoughDisks(state: ConsensusState, role: LeaderRole): number {
  const membership = currentMembership(state);
  const copies = commitSize(membership, state.options.minimumCopies ?? DEFAULT_MINIMUM_COPIES);
  return reachedByVoters(membership, copies, (nodeId) => indexOnDiskOf(state, role, nodeId));
}

function indexOnDiskOf(state: ConsensusState, role: LeaderRole, nodeId: NodeId): number {
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
