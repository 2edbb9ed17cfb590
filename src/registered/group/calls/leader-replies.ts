/**
 * @file Performs calls on the leader and builds the replies.
 *
 * Reads, and commands that have already taken effect, append no entry: a read round confirms the leadership, then the
 * reply is built from the replicated state. Other commands are proposed, and answered after they are committed and
 * applied. Calls are idempotent, so clients can retry them.
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

/** Runs a consensus event and returns its effects. */
export type RunConsensus = (event: ConsensusEvent) => GroupEffect[];

/** State that replies are built from. */
export type ReplyState = Pick<GroupState, 'calls' | 'replicated'> & ZoneReportState;

/**
 * Proposes a command, or starts a read round if no entry is needed.
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
      const recordedKind = replicated.departureOf(departure.backendId);
      return recordedKind === 'gone' || recordedKind === departure.kind;
    })
    .with({ type: 'order-zone' }, ({ order }) =>
      isFulfilled(order, replicated.zones.statusOf(order.zone)),
    )
    .with({ type: 'register-backends' }, { type: 'forget-backends' }, () => false)
    .exhaustive();
}

/**
 * Replies to the call that waits for a proposal or read, if there is one.
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
 * Replies to the call that waits for a confirmed read: with the requested data, or that the command has taken effect.
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
      // Another order may have been committed during the read round.
      command.type === 'order-zone' && !changesNothing(replicated, command)
        ? outdatedOrder(command.order.zone)
        : { type: 'committed' },
    )
    .exhaustive();
}

/** Sends a reply to the client or to the machine that forwarded the call. */
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
  calls.removeClientCall(receiver.requestId);
  return reply(receiver.requestId, clientReply(leaderReply));
}

/** Sends the reply of the leader to the client of a forwarded call. */
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
 * @returns the reply to a refused call
 */
export function refused(reason: string): LeaderReply {
  return { type: 'refused', reason };
}

/**
 * @returns the reply to an order that was based on an outdated status of its zone
 */
export function outdatedOrder(zone: string): LeaderReply {
  return refused(`Another order for zone ${zone} was applied in the meantime.`);
}

/**
 * @returns the reply to a call that failed or timed out; it may still take effect
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
