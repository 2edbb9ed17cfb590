/**
 * @file Check-quorum: a leader steps down when no quorum of voters has responded within an election timeout, since the
 * others may have elected a new leader by then.
 */
import type { StepScope } from './consensus-events.js';
import { currentMembership, type LeaderRole } from './consensus-state.js';
import { continueLeadershipTransfer } from './leadership-transfer.js';
import { quorumSize, votersOf, type Membership } from './membership.js';
import { replicateToAll } from './replication.js';
import { becomeFollower } from './roles.js';

/**
 * Runs a leader's periodic work: check-quorum, heartbeats and a pending leadership transfer.
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
 * @param membership the current membership, or a proposed one
 * @returns true if a quorum of its voters has responded within an election timeout
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
