/**
 * @file How the leader performs a call, and what it replies.
 *
 * Reads, and commands that change nothing any more, take no entry of the log: a read round confirms that this machine
 * still leads, and the reply is made from the replicated state after it. All other commands are proposed, and
 * replied to once they are committed and applied. Repeating a call is therefore safe, and cheap where it has taken
 * effect already.
 */
import { match } from 'ts-pattern';
import type { ConsensusEvent } from '../../../shared/consensus/consensus-events.js';
import type { GroupEffect, GroupReply, RequestId } from '../group-events.js';
import type { LeaderReply, LeaderRequest } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import type { ReplyTo } from './pending-calls.js';
import {
  encodeGroupCommand,
  type GroupCommand,
  type ReplicatedState,
} from '../replicated-state.js';
import { isFulfilled } from '../zone-orders.js';
import { zoneReports, type ZoneReportState } from '../zone-reports.js';

/** Runs a consensus event and gives its effects. */
export type RunConsensus = (event: ConsensusEvent) => GroupEffect[];

/** What replies are made from. */
export type ReplyState = Pick<GroupState, 'calls' | 'replicated'> & ZoneReportState;

/**
 * Proposes a command, or confirms leadership for what needs no entry.
 */
export function performAsLeader(
  { calls, replicated }: ReplyState,
  request: LeaderRequest,
  receiver: ReplyTo,
  run: RunConsensus,
): GroupEffect[] {
  const proposalId = calls.addPendingReply({ replyTo: receiver, request });
  const needsNoEntry = request.type !== 'command' || changesNothing(replicated, request.command);
  return needsNoEntry
    ? run({ type: 'read', readId: proposalId })
    : run({ type: 'propose', proposalId, data: encodeGroupCommand(request.command) });
}

function changesNothing(replicated: ReplicatedState, groupCommand: GroupCommand): boolean {
  return match(groupCommand)
    .with(
      { type: 'declare-config' },
      ({ document }) => document.version <= (replicated.config?.version ?? 0),
    )
    .with({ type: 'note-departure' }, ({ departure }) => {
      const known = replicated.departureOf(departure.backendId);
      return known === 'gone' || known === departure.kind;
    })
    .with({ type: 'order-zone' }, ({ order }) =>
      isFulfilled(order, replicated.zones.statusOf(order.zone)),
    )
    .with({ type: 'register-backends' }, { type: 'forget-backends' }, () => false)
    .exhaustive();
}

/**
 * Replies to the call behind a proposal or read, where one waits.
 */
export function finishCall(
  state: ReplyState,
  proposalId: number,
  leaderReply: LeaderReply,
): GroupEffect[] {
  const pending = state.calls.takePendingReply(proposalId);
  return pending === undefined ? [] : [replyTo(state, pending.replyTo, leaderReply)];
}

/**
 * Replies to the call behind a read that is confirmed: with what was asked for, or that the command has taken effect
 * already.
 */
export function finishRead(state: ReplyState, readId: number): GroupEffect[] {
  const request = state.calls.requestOf(readId);
  return request === undefined ? [] : finishCall(state, readId, replyToRead(state, request));
}

function replyToRead(state: ReplyState, request: LeaderRequest): LeaderReply {
  const { replicated } = state;
  return match(request)
    .with({ type: 'read-config' }, (): LeaderReply => ({
      type: 'config',
      document: replicated.config,
    }))
    .with({ type: 'read-zones' }, (): LeaderReply => ({
      type: 'zones',
      zones: zoneReports(state),
    }))
    .with({ type: 'command' }, ({ command }): LeaderReply =>
      // Another order may have been committed while the read was confirmed.
      command.type === 'order-zone' && !changesNothing(replicated, command)
        ? outdatedOrder(command.order.zone)
        : { type: 'committed' },
    )
    .exhaustive();
}

/** Sends a reply to the client, or to the machine that forwarded the call. */
export function replyTo(
  { calls }: ReplyState,
  receiver: ReplyTo,
  leaderReply: LeaderReply,
): GroupEffect {
  if (receiver.type === 'peer') {
    const { address, forwardId } = receiver;
    return {
      type: 'send-peer',
      to: address,
      message: { type: 'forward-reply', forwardId, answer: leaderReply },
    };
  }
  calls.stopWaiting(receiver.requestId);
  return reply(receiver.requestId, clientReply(leaderReply));
}

/** Sends the leader's reply to a client of this machine, whose call was forwarded and waits no more. */
export function replyToForwarded(requestId: RequestId, leaderReply: LeaderReply): GroupEffect {
  return reply(requestId, clientReply(leaderReply));
}

function clientReply(leaderReply: LeaderReply): GroupReply {
  return match(leaderReply)
    .with({ type: 'committed' }, (): GroupReply => ({ type: 'accepted' }))
    .with({ type: 'config' }, ({ document }): GroupReply => ({ type: 'config', document }))
    .with({ type: 'zones' }, ({ zones }): GroupReply => ({ type: 'zones', zones }))
    .with({ type: 'refused' }, ({ reason }): GroupReply => ({ type: 'unavailable', reason }))
    .exhaustive();
}

/**
 * @returns the reply to a call that could not be performed
 */
export function refused(reason: string): LeaderReply {
  return { type: 'refused', reason };
}

/**
 * @returns the reply to an order that does not follow the last one for its zone
 */
export function outdatedOrder(zone: string): LeaderReply {
  return refused(`Another order for zone ${zone} came between.`);
}

/**
 * @returns the reply to a call that is given up; it may or may not have taken effect
 */
export function unavailable(requestId: RequestId, reason: string): GroupEffect {
  return reply(requestId, { type: 'unavailable', reason });
}

/**
 * @returns the reply to a call that has taken effect
 */
export function accepted(requestId: RequestId): GroupEffect {
  return reply(requestId, { type: 'accepted' });
}

function reply(requestId: RequestId, content: GroupReply): GroupEffect {
  return { type: 'reply', requestId, reply: content };
}
