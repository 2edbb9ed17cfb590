/**
 * @file Who takes over from a leader that is about to stop, and when does it give the transfer up?
 *
 * Inputs: how far the log of each voter is (index), when its last message came (ms), and the options
 * `heartbeatIntervalMs` and `electionTimeoutMs`.
 *
 * The voter that is furthest along among those that answer is asked to campaign at once, when it has the whole log: no
 * election timeout passes without a leader. No proposals are accepted meanwhile, since they would move the end of the
 * log. After an election timeout the transfer is given up, and the leader leads on.
 *
 * Owns `LeaderRole.leadershipTransfer`.
 */
import type { StepScope } from './consensus-events.js';
import { currentMembership, type LeaderRole } from './consensus-state.js';
import { votersOf, type NodeId } from './membership.js';
import { sendNow } from './roles.js';

/**
 * A voter that is silent for longer than so many heartbeat intervals is not asked to take over: it may be down. Not
 * measured; an election timeout without a leader after a planned stop would show it too large.
 */
const MAX_SILENT_HEARTBEATS = 3;

/**
 * Begins to hand over to the voter that is furthest along; no proposals are accepted meanwhile.
 */
export function startLeadershipTransfer(scope: StepScope): void {
  const { state, context } = scope;
  const { role } = state;
  if (role.name !== 'leader' || role.leadershipTransfer !== undefined) {
    return;
  }
  const target = bestSuccessor(scope, role);
  if (target !== undefined) {
    const deadlineMs = context.nowMs + state.options.electionTimeoutMs;
    role.leadershipTransfer = { target, deadlineMs, asked: false };
    continueLeadershipTransfer(scope);
  }
}

/**
 * Asks the successor to campaign once it has the whole log; gives up at the deadline.
 */
export function continueLeadershipTransfer(scope: StepScope): void {
  const { state, context } = scope;
  const { role } = state;
  if (role.name !== 'leader' || role.leadershipTransfer === undefined) {
    return;
  }
  const { target, deadlineMs, asked } = role.leadershipTransfer;
  if (context.nowMs >= deadlineMs) {
    role.leadershipTransfer = undefined;
    return;
  }
  if (!asked && role.progress.get(target)?.matchIndex === state.log.last.index) {
    role.leadershipTransfer.asked = true;
    sendNow(scope, target, { type: 'timeout-now', term: state.term });
  }
}

function bestSuccessor({ state, context }: StepScope, role: LeaderRole): NodeId | undefined {
  const sinceMs = context.nowMs - MAX_SILENT_HEARTBEATS * state.options.heartbeatIntervalMs;
  const matchOf = (nodeId: NodeId) => role.progress.get(nodeId)?.matchIndex ?? 0;
  const others = votersOf(currentMembership(state))
    .map(({ nodeId }) => nodeId)
    .filter((nodeId) => (role.progress.get(nodeId)?.receivedAtMs ?? -Infinity) >= sinceMs);
  return others.sort((a, b) => matchOf(b) - matchOf(a))[0];
}
