/**
 * @file Leadership transfer before a planned stop: the most up-to-date responsive voter campaigns immediately once it has
 * the whole log. Proposals are refused during the transfer, which is abandoned after an election timeout.
 */
import type { StepScope } from './consensus-events.js';
import { currentMembership, type LeaderRole } from './consensus-state.js';
import { votersOf, type NodeId } from './membership.js';
import { sendNow } from './roles.js';

/** A voter without a response for this many heartbeat intervals may be down and is not chosen. */
const MAX_MISSED_HEARTBEATS = 3;

/**
 * Starts a transfer to the most up-to-date responsive voter; does nothing if there is none.
 */
export function startLeadershipTransfer(scope: StepScope): void {
  const { state, context } = scope;
  const { role } = state;
  if (role.name !== 'leader' || role.leadershipTransfer !== undefined) {
    return;
  }
  const target = chooseTransferTarget(scope, role);
  if (target !== undefined) {
    const deadlineMs = context.nowMs + state.options.electionTimeoutMs;
    role.leadershipTransfer = { target, deadlineMs, isTimeoutNowSent: false };
    continueLeadershipTransfer(scope);
  }
}

/**
 * Tells the target to campaign once it has the whole log; abandons the transfer at the deadline.
 */
export function continueLeadershipTransfer(scope: StepScope): void {
  const { state, context } = scope;
  const { role } = state;
  if (role.name !== 'leader' || role.leadershipTransfer === undefined) {
    return;
  }
  const { target, deadlineMs, isTimeoutNowSent: asked } = role.leadershipTransfer;
  if (context.nowMs >= deadlineMs) {
    role.leadershipTransfer = undefined;
    return;
  }
  if (!asked && role.progress.get(target)?.matchIndex === state.log.last.index) {
    role.leadershipTransfer.isTimeoutNowSent = true;
    sendNow(scope, target, { type: 'timeout-now', term: state.term });
  }
}

function chooseTransferTarget({ state, context }: StepScope, role: LeaderRole): NodeId | undefined {
  const sinceMs = context.nowMs - MAX_MISSED_HEARTBEATS * state.options.heartbeatIntervalMs;
  const matchOf = (nodeId: NodeId) => role.progress.get(nodeId)?.matchIndex ?? 0;
  const others = votersOf(currentMembership(state))
    .map(({ nodeId }) => nodeId)
    .filter((nodeId) => (role.progress.get(nodeId)?.receivedAtMs ?? -Infinity) >= sinceMs);
  return others.sort((a, b) => matchOf(b) - matchOf(a))[0];
}
