/**
 * @file Which machine performs a call, and when is it given up?
 *
 * A call is performed by the leader. Inputs: the call, who leads as this machine knows, the time in milliseconds and
 * the request deadline of the options. Returns effects: the call is proposed here, forwarded to the leader, or
 * answered `unavailable`.
 *
 * - Where no leader is known, the client gets its reply at once and goes on to another machine; waiting here could
 *   only end at its deadline.
 * - A forwarded call is named by the start of this machine and a count (forward-ids.ts).
 * - A call is forwarded once. A machine that gets a forwarded call and does not lead refuses it, so that calls can't
 *   circle among machines that disagree about the leader.
 * - There are no retries here: the client repeats its call, and repeated commands change nothing (leader-replies.ts).
 * - After `requestDeadlineMs` the call is given up. `unavailable` promises nothing: the command may still be
 *   committed.
 *
 * `requestDeadlineMs` comes from the program that embeds the group: it has to be shorter than what its clients wait.
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

/** What the way of a call needs of the machine. */
export type CallState = ReplyState & Pick<GroupState, 'consensus' | 'options'>;

/**
 * Brings a call of a client of this machine to the leader.
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
    calls.startWaiting(requestId, deadlineMs);
    return performAsLeader(state, request, { type: 'client', requestId }, run);
  }
  const leader = leaderAddress(state);
  if (leader === undefined) {
    return [unavailable(requestId, 'No leader is known.')];
  }
  const forwardId = calls.startForwarding(requestId, deadlineMs);
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
 * Performs a call that another machine forwarded, or refuses it where this machine does not lead.
 */
export function handleForward(
  state: CallState,
  message: Extract<PeerMessage, { type: 'forward' }>,
  run: RunConsensus,
): GroupEffect[] {
  const { replyTo: address, forwardId, request } = message;
  const receiver = { type: 'peer', address, forwardId } as const;
  if (state.consensus.role.name !== 'leader') {
    return [replyTo(state, receiver, refused('This machine does not lead.'))];
  }
  return performAsLeader(state, request, receiver, run);
}

/**
 * Passes the leader's reply to a forwarded call on to its client. One to a call that was given up, or that was forwarded
 * before this machine started again, is dropped.
 */
export function handleForwardReply(
  state: CallState,
  { forwardId, answer }: Extract<PeerMessage, { type: 'forward-reply' }>,
): GroupEffect[] {
  const { calls } = state;
  const requestId = calls.takeForwarded(forwardId);
  const line = callDecision('leader replied', {
    forward: forwardId,
    reply: answer.type,
    awaited: requestId !== undefined,
    ofThisStart: calls.isForwardOfThisStart(forwardId),
  });
  return requestId === undefined ? [line] : [line, replyToForwarded(requestId, answer)];
}

/** With these lines a reply is found to the call that it answers, on one machine and over its starts. */
function callDecision(name: string, fields: DecisionEffect['fields']): DecisionEffect {
  return { type: 'decision', name, fields };
}

/**
 * Gives up calls whose deadline has passed.
 */
export function expireCalls({ calls }: CallState, nowMs: number): GroupEffect[] {
  return calls
    .takeExpired(nowMs)
    .map((requestId) => unavailable(requestId, 'No answer came in time.'));
}
