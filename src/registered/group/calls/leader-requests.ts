/**
 * @file Routes calls of clients to the leader: performs them if this machine is the leader, forwards them to the leader
 * otherwise, and fails them as `unavailable` if no leader is known or the deadline passes. A call that failed may still
 * take effect.
 *
 * A call is forwarded only once: a machine that is not the leader refuses forwarded calls, so that they cannot loop
 * between machines that disagree about the leader. Retries are left to clients, since commands are idempotent. The
 * deadline must be shorter than the timeout of the clients.
 */
import { formatAddress } from '../../../shared/common/address.js';
import type { GroupEffect, RequestId } from '../group-events.js';
import type { LeaderRequest, PeerMessage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { leaderAddress } from '../leadership.js';
import {
  performAsLeader,
  refused,
  replyTo,
  replyToForwarded,
  unavailable,
  type ReplyState,
  type RunConsensus,
} from './leader-replies.js';

type DecisionEffect = Extract<GroupEffect, { type: 'decision' }>;

/** State that the routing of calls reads and changes. */
export type CallState = ReplyState & Pick<GroupState, 'consensus' | 'options'>;

/**
 * Performs a call of a client, or forwards it to the leader.
 */
export function startCall(
  state: CallState,
  requestId: RequestId,
  request: LeaderRequest,
  nowMs: number,
  run: RunConsensus,
): GroupEffect[] {
  const { calls, consensus, options } = state;
  const deadlineMs = nowMs + options.requestDeadlineMs;
  if (consensus.role.name === 'leader') {
    calls.addClientCall(requestId, deadlineMs);
    return performAsLeader(state, request, { type: 'client', requestId }, run);
  }
  const leader = leaderAddress(state);
  if (leader === undefined) {
    return [unavailable(requestId, 'No leader is known.')];
  }
  const forwardId = calls.addForwardedCall(requestId, deadlineMs);
  return [
    {
      type: 'send-peer',
      to: leader,
      message: { type: 'forward', forwardId, replyTo: options.linkAddress, request },
    },
    callDecision('call forwarded', {
      forward: forwardId,
      call: request.type === 'command' ? request.command.type : request.type,
      leader: formatAddress(leader),
    }),
  ];
}

/**
 * Performs a call that another machine forwarded, or refuses it if this machine is not the leader.
 */
export function handleForward(
  state: CallState,
  message: Extract<PeerMessage, { type: 'forward' }>,
  run: RunConsensus,
): GroupEffect[] {
  const { replyTo: address, forwardId, request } = message;
  const receiver = { type: 'peer', address, forwardId } as const;
  if (state.consensus.role.name !== 'leader') {
    return [replyTo(state, receiver, refused('This machine is not the leader.'))];
  }
  return performAsLeader(state, request, receiver, run);
}

/**
 * Passes the reply to a forwarded call on to its client. Replies to calls that have timed out, or that were forwarded
 * before a restart, are dropped.
 */
export function handleForwardReply(
  state: CallState,
  { forwardId, answer }: Extract<PeerMessage, { type: 'forward-reply' }>,
): GroupEffect[] {
  const { calls } = state;
  const requestId = calls.takeForwarded(forwardId);
  const decision = callDecision('leader replied', {
    forward: forwardId,
    reply: answer.type,
    awaited: requestId !== undefined,
    ofThisStart: calls.isForwardOfThisStart(forwardId),
  });
  return requestId === undefined ? [decision] : [decision, replyToForwarded(requestId, answer)];
}

/** Log line; the field `forward` matches replies to calls. */
function callDecision(name: string, fields: DecisionEffect['fields']): DecisionEffect {
  return { type: 'decision', name, fields };
}

/**
 * Replies `unavailable` to calls whose deadline has passed.
 */
export function expireCalls({ calls }: CallState, nowMs: number): GroupEffect[] {
  return calls
    .takeExpired(nowMs)
    .map((requestId) => unavailable(requestId, 'The leader did not reply in time.'));
}
