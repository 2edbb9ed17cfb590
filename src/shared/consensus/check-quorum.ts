/**
 * @file May this leader go on leading?
 *
 * Inputs: when a message of each voter last came (ms on the step's clock), the membership, and
 * `ConsensusOptions.electionTimeoutMs`.
 *
 * A leader that no quorum of voters has answered within an election timeout steps down: the others may have elected a
 * new leader by then, and a leader that is cut off must stop to answer for the group (check-quorum). A shorter time
 * would give up leaders on a passing delay; a longer one would let callers wait at a leader that can commit nothing.
 */
import type { StepScope } from './consensus-events.js';
import { currentMembership, type LeaderRole } from './consensus-state.js';
import { continueLeadershipTransfer } from './leadership-transfer.js';
import { quorumSize, votersOf, type Membership } from './membership.js';
import { replicateToAll } from './replication.js';
import { becomeFollower } from './roles.js';

/**
 * What a leader does as time goes on: steps down without a quorum, sends heartbeats, goes on with a transfer.
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
 * @param membership the one in effect, or the one that a change would lead to
 * @returns true where a quorum of its voters has answered within an election timeout
 */
export function hasQuorumContact(
  { state, context }: StepScope,
  role: LeaderRole,
  membership: Membership,
): boolean {
  const sinceMs = context.nowMs - state.options.electionTimeoutMs;
  const inContact = votersOf(membership).filter(
    ({ nodeId }) =>
      nodeId === state.nodeId || (role.progress.get(nodeId)?.receivedAtMs ?? 0) >= sinceMs,
  );
  return inContact.length >= quorumSize(membership);
}
