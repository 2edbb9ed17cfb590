/**
 * @file The way of a call to the leader and back. A call that reaches another machine is passed on to
 * the leader; where none is known, or no answer comes in time, the client hears so at once, and goes on
 * to another machine.
 */
import { match } from 'ts-pattern';
import type { ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import type { GroupEffect, GroupReply, RequestId } from './group-events.js';
import type { LeaderReply, LeaderRequest, PeerMessage } from './group-messages.js';
import { leaderAddress, type ReplyTo, type GroupState } from './group-state.js';
import { encodeGroupCommand } from './replicated-state.js';
import { isFulfilled } from './zone-orders.js';
import { zoneReports } from './zone-reports.js';

/** Runs a consensus event and gives its effects. */
export type RunConsensus = (event: ConsensusEvent) => GroupEffect[];

/**
 * Brings a call to the leader.
 */
export function startCall(
  state: GroupState,
  requestId: RequestId,
  request: LeaderRequest,
  nowMs: number,
  run: RunConsensus,
): GroupEffect[] {
  if (state.consensus.role.name === 'leader') {
    state.waiting.set(requestId, { request, deadlineMs: nowMs + state.options.requestDeadlineMs });
    return performAsLeader(state, request, { type: 'client', requestId }, run);
  }
  const leader = leaderAddress(state);
  if (leader === undefined) {
    return [reply(requestId, { type: 'unavailable', reason: 'No leader is known.' })];
  }
  state.waiting.set(requestId, { request, deadlineMs: nowMs + state.options.requestDeadlineMs });
  const { linkAddress: replyTo } = state.options;
  return [
    {
      type: 'send-peer',
      to: leader,
      message: { type: 'forward', forwardId: requestId, replyTo, request },
    },
  ];
}

/**
 * Takes a call that another machine passed on.
 */
export function handleForward(
  state: GroupState,
  message: Extract<PeerMessage, { type: 'forward' }>,
  run: RunConsensus,
): GroupEffect[] {
  const answerTo: ReplyTo = {
    type: 'peer',
    address: message.replyTo,
    forwardId: message.forwardId,
  };
  if (state.consensus.role.name !== 'leader') {
    return [answerCall(state, answerTo, refused('This machine does not lead.'))];
  }
  return performAsLeader(state, message.request, answerTo, run);
}

/**
 * Takes the leader's answer to a call that was passed on.
 */
export function handleForwardReply(
  state: GroupState,
  message: Extract<PeerMessage, { type: 'forward-reply' }>,
): GroupEffect[] {
  return answerClient(state, message.forwardId, message.answer);
}

function performAsLeader(
  state: GroupState,
  request: LeaderRequest,
  replyTo: ReplyTo,
  run: RunConsensus,
): GroupEffect[] {
  const proposalId = state.nextProposalId;
  state.nextProposalId += 1;
  state.pendingReplies.set(proposalId, { replyTo, request });
  const needsNoEntry = request.type !== 'command' || changesNothing(state, request);
  // What is held already is only confirmed: that this machine still leads.
  return needsNoEntry
    ? run({ type: 'read', readId: proposalId })
    : run({ type: 'propose', proposalId, data: encodeGroupCommand(request.command) });
}

function changesNothing(
  state: GroupState,
  request: Extract<LeaderRequest, { type: 'command' }>,
): boolean {
  const { command } = request;
  return match(command)
    .with(
      { type: 'declare-config' },
      ({ document }) => document.version <= (state.replicated.config?.version ?? 0),
    )
    .with({ type: 'note-departure' }, ({ departure }) => {
      const known = state.replicated.departureOf(departure.backendId);
      return known === 'gone' || known === departure.kind;
    })
    .with({ type: 'order-zone' }, ({ order }) =>
      isFulfilled(order, state.replicated.zones.statusOf(order.zone)),
    )
    .with({ type: 'register-backends' }, { type: 'forget-backends' }, () => false)
    .exhaustive();
}

/**
 * Answers the call behind a proposal or read.
 */
export function finishCall(
  state: GroupState,
  proposalId: number,
  answer: LeaderReply,
): GroupEffect[] {
  const pending = state.pendingReplies.get(proposalId);
  state.pendingReplies.delete(proposalId);
  return pending === undefined ? [] : [answerCall(state, pending.replyTo, answer)];
}

/**
 * Answers the call behind a read: whoever asked a question gets its answer, whoever sent a change that is held
 * already hears that it holds.
 */
export function finishRead(state: GroupState, readId: number): GroupEffect[] {
  const request = state.pendingReplies.get(readId)?.request;
  return request === undefined ? [] : finishCall(state, readId, replyToRead(state, request));
}

function replyToRead(state: GroupState, request: LeaderRequest): LeaderReply {
  return match(request)
    .with({ type: 'read-config' }, (): LeaderReply => ({
      type: 'config',
      document: state.replicated.config,
    }))
    .with({ type: 'read-zones' }, (): LeaderReply => ({
      type: 'zones',
      zones: zoneReports(state),
    }))
    .with({ type: 'command' }, ({ command }): LeaderReply =>
      // Another order may have been committed while the read was confirmed.
      command.type === 'order-zone' && !changesNothing(state, { type: 'command', command })
        ? refused(`Another order for zone ${command.order.zone} came between.`)
        : { type: 'committed' },
    )
    .exhaustive();
}

function answerCall(state: GroupState, answerTo: ReplyTo, answer: LeaderReply): GroupEffect {
  if (answerTo.type === 'peer') {
    const { address, forwardId } = answerTo;
    return {
      type: 'send-peer',
      to: address,
      message: { type: 'forward-reply', forwardId, answer },
    };
  }
  state.waiting.delete(answerTo.requestId);
  return reply(answerTo.requestId, replyOf(answer));
}

function answerClient(state: GroupState, requestId: RequestId, answer: LeaderReply): GroupEffect[] {
  return state.waiting.delete(requestId) ? [reply(requestId, replyOf(answer))] : [];
}

function replyOf(answer: LeaderReply): GroupReply {
  return match(answer)
    .with({ type: 'committed' }, (): GroupReply => ({ type: 'accepted' }))
    .with({ type: 'config' }, ({ document }): GroupReply => ({ type: 'config', document }))
    .with({ type: 'zones' }, ({ zones }): GroupReply => ({ type: 'zones', zones }))
    .with({ type: 'refused' }, ({ reason }): GroupReply => ({ type: 'unavailable', reason }))
    .exhaustive();
}

/**
 * Gives up calls that have waited for too long.
 */
export function expireCalls(state: GroupState, nowMs: number): GroupEffect[] {
  const effects: GroupEffect[] = [];
  for (const [requestId, { deadlineMs }] of state.waiting) {
    if (nowMs >= deadlineMs) {
      state.waiting.delete(requestId);
      effects.push(reply(requestId, { type: 'unavailable', reason: 'No answer came in time.' }));
    }
  }
  return effects;
}

/**
 * @returns the answer for a call that could not be performed
 */
export function refused(reason: string): LeaderReply {
  return { type: 'refused', reason };
}

function reply(requestId: RequestId, content: GroupReply): GroupEffect {
  return { type: 'reply', requestId, reply: content };
}
