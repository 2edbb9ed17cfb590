/**
 * @file The decision step of a control machine of a group: calls of back ends and operators, messages
 * of the other control machines, links of balancers, and the disk.
 */
import { match } from 'ts-pattern';
import { formatAddress } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import type { ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import { currentMembership } from '../../shared/consensus/consensus-state.js';
import { findMember } from '../../shared/consensus/membership.js';
import { isLaterDeparture, type BackendRecord } from '../registry/backend-record.js';
import {
  addSubscriber,
  feedOne,
  feedSubscribers,
  applyFeedTaken,
  removeSubscriber,
} from './balancer-feed.js';
import { forgetSilentPeers, shareBalancers, applyPeerBalancers } from './balancer-list.js';
import { OWN_PROPOSAL, runConsensus } from './group-consensus.js';
import type { GroupEffect, GroupEvent, RequestId } from './group-events.js';
import type { AgedRecord, PeerMessage } from './group-messages.js';
import { isCurrent, leaderAddress, type GroupState } from './group-state.js';
import { expireCalls, startCall, handleForward, handleForwardReply } from './leader-requests.js';
import {
  announceWhereDue,
  firstMembershipEvent,
  hasSpareVoter,
  nextMemberChange,
  handleAnnouncement,
} from './membership-duties.js';
import { publishLoads, shareLoadSums, applyLoadReport, applyLoadSums } from './load-duties.js';
import {
  updateLiveness,
  nextRegistryCommand,
  shareHeartbeats,
  applyHeartbeat,
} from './registry-duties.js';
import { encodeGroupCommand } from './replicated-state.js';
import { orderZone } from './zone-duties.js';

/**
 * Takes one event.
 * @returns the effects, in order
 */
export function groupStep(
  state: GroupState,
  event: GroupEvent,
  context: StepContext,
): GroupEffect[] {
  const { nowMs } = context;
  state.stallGuard.recordTurn(nowMs);
  const run = (consensusEvent: ConsensusEvent) => runConsensus(state, consensusEvent, context);
  return match(event)
    .with({ type: 'heartbeat' }, (call) => handleHeartbeat(state, call, context))
    .with({ type: 'deregister' }, ({ requestId, backendId }) =>
      handleDeparture(state, requestId, { backendId, kind: 'gone' }, context),
    )
    .with({ type: 'declare-config' }, ({ requestId, document }) =>
      startCall(
        state,
        requestId,
        { type: 'command', command: { type: 'declare-config', document } },
        nowMs,
        run,
      ),
    )
    .with({ type: 'read-config' }, ({ requestId }) =>
      startCall(state, requestId, { type: 'read-config' }, nowMs, run),
    )
    .with({ type: 'order-zone' }, (call) => orderZone(state, call, nowMs, run))
    .with({ type: 'read-zones' }, ({ requestId }) =>
      startCall(state, requestId, { type: 'read-zones' }, nowMs, run),
    )
    .with({ type: 'peer-message' }, ({ message }) => handlePeerMessage(state, message, context))
    .with({ type: 'subscribe' }, ({ linkId, message }) => {
      addSubscriber(state, linkId, message);
      return feedOne(state, linkId, nowMs);
    })
    .with({ type: 'load-report' }, ({ linkId, message }) => {
      if (state.subscribers.has(linkId)) {
        applyLoadReport(state, linkId, message);
      }
      return [];
    })
    .with({ type: 'feed-taken' }, ({ linkId, message }) =>
      applyFeedTaken(state, linkId, message.count, nowMs),
    )
    .with({ type: 'link-closed' }, ({ linkId }) => {
      removeSubscriber(state, linkId);
      return [];
    })
    .with({ type: 'persisted' }, { type: 'persist-failed' }, (ended) => run(ended))
    .with({ type: 'tick' }, () => tick(state, context))
    .with({ type: 'stop' }, () => stop(state, run))
    .exhaustive();
}

function handleHeartbeat(
  state: GroupState,
  call: Extract<GroupEvent, { type: 'heartbeat' }>,
  context: StepContext,
): GroupEffect[] {
  const { requestId, record, isDraining } = call;
  if (!isCurrent(state, context.nowMs)) {
    return [unavailable(requestId, 'This machine follows no leader.')];
  }
  const registered = registrationDecision(state, record);
  const aged: AgedRecord = { record, ageMs: 0 };
  if (applyHeartbeat(state, aged, context.nowMs)) {
    state.heartbeatsToShare.push(aged);
  }
  if (isDraining) {
    const departure = { backendId: record.id, kind: 'draining' } as const;
    return [...registered, ...handleDeparture(state, requestId, departure, context)];
  }
  return [...registered, { type: 'reply', requestId, reply: { type: 'accepted' } }];
}

/** One line for each start of a back end that is heard of for the first time. */
function registrationDecision(state: GroupState, record: BackendRecord): GroupEffect[] {
  if (state.registry.get(record.id) !== undefined) {
    return [];
  }
  const { id, service, zone, address, capacity, warmUpLeftMs } = record;
  const fields = {
    backend: id,
    service,
    zone,
    address: formatAddress(address),
    capacity,
    warmUpLeftMs,
    supersedes: state.registry.holderOf(address),
  };
  return [{ type: 'decision', name: 'backend registered', fields }];
}

/** What is committed already needs no leader: a departure is final. */
function handleDeparture(
  state: GroupState,
  requestId: RequestId,
  departure: { readonly backendId: string; readonly kind: 'draining' | 'gone' },
  context: StepContext,
): GroupEffect[] {
  const known = state.replicated.departureOf(departure.backendId);
  if (!isLaterDeparture(departure.kind, known)) {
    return [{ type: 'reply', requestId, reply: { type: 'accepted' } }];
  }
  return startCall(
    state,
    requestId,
    { type: 'command', command: { type: 'note-departure', departure } },
    context.nowMs,
    (event) => runConsensus(state, event, context),
  );
}

function handlePeerMessage(
  state: GroupState,
  peerMessage: PeerMessage,
  context: StepContext,
): GroupEffect[] {
  const { nowMs } = context;
  const run = (event: ConsensusEvent) => runConsensus(state, event, context);
  return match(peerMessage)
    .with({ type: 'consensus' }, (message) => handleConsensusMessage(state, message, context))
    .with({ type: 'announce' }, (message) => handleAnnouncement(state, message, nowMs))
    .with({ type: 'leave' }, ({ from }) => {
      const member = findMember(currentMembership(state.consensus), from.nodeId);
      return member?.role === 'voter' && hasSpareVoter(state)
        ? run({
            type: 'change-membership',
            proposalId: OWN_PROPOSAL,
            change: { type: 'remove-member', nodeId: from.nodeId },
          })
        : [];
    })
    .with({ type: 'heartbeats' }, ({ records }) => {
      records.forEach((aged) => applyHeartbeat(state, aged, nowMs));
      return [];
    })
    .with({ type: 'balancers' }, (message) => {
      applyPeerBalancers(state, message, nowMs);
      return [];
    })
    .with({ type: 'load-sums' }, (message) => {
      applyLoadSums(state, message, nowMs);
      return [];
    })
    .with({ type: 'forward' }, (message) => handleForward(state, message, run))
    .with({ type: 'forward-reply' }, (message) => handleForwardReply(state, message))
    .exhaustive();
}

function handleConsensusMessage(
  state: GroupState,
  message: Extract<PeerMessage, { type: 'consensus' }>,
  context: StepContext,
): GroupEffect[] {
  const { consensus } = state;
  if (message.toNodeId !== consensus.nodeId) {
    return [];
  }
  if (consensus.clusterId !== undefined && consensus.clusterId !== message.clusterId) {
    return [];
  }
  state.replyAddresses.set(message.from.nodeId, message.replyTo);
  const joining =
    consensus.clusterId === undefined
      ? runConsensus(state, { type: 'join-cluster', clusterId: message.clusterId }, context)
      : [];
  const event: ConsensusEvent = {
    type: 'consensus-message',
    from: message.from,
    message: message.message,
  };
  return [...joining, ...runConsensus(state, event, context)];
}

function tick(state: GroupState, context: StepContext): GroupEffect[] {
  const { nowMs } = context;
  const effects: GroupEffect[] = [];
  const first = firstMembershipEvent(state);
  if (first !== undefined) {
    effects.push(...runConsensus(state, first, context));
  }
  effects.push(...announceWhereDue(state, nowMs));
  effects.push(...(state.isStopping ? askToLeave(state) : []));
  effects.push(...runConsensus(state, { type: 'tick' }, context));
  effects.push(...changeMembers(state, context));
  effects.push(...keepBackendList(state, context));
  effects.push(...expireCalls(state, nowMs));
  updateLiveness(state, nowMs);
  forgetSilentPeers(state, nowMs);
  effects.push(...shareHeartbeats(state));
  effects.push(...shareBalancers(state, nowMs));
  effects.push(...shareLoadSums(state, nowMs));
  effects.push(...feedSubscribers(state, nowMs));
  effects.push(...publishLoads(state, nowMs));
  state.registry.forgetSilent(nowMs, state.options.forgetBackendAfterMs);
  return effects;
}

function changeMembers(state: GroupState, context: StepContext): GroupEffect[] {
  const change = nextMemberChange(state, context.nowMs);
  if (change === undefined) {
    return [];
  }
  return runConsensus(
    state,
    { type: 'change-membership', proposalId: OWN_PROPOSAL, change },
    context,
  );
}

function keepBackendList(state: GroupState, context: StepContext): GroupEffect[] {
  const command = nextRegistryCommand(state);
  if (command === undefined) {
    return [];
  }
  state.registryProposalIndex = state.consensus.log.last.index + 1;
  const data = encodeGroupCommand(command);
  return runConsensus(state, { type: 'propose', proposalId: OWN_PROPOSAL, data }, context);
}

/** Leadership is handed over, and a voter that is not needed leaves, so that it may stay away. */
function stop(state: GroupState, run: (event: ConsensusEvent) => GroupEffect[]): GroupEffect[] {
  state.isStopping = true;
  return [...run({ type: 'transfer-leadership' }), ...askToLeave(state)];
}

function askToLeave(state: GroupState): GroupEffect[] {
  const { nodeId, storageId } = state.consensus;
  const leader = leaderAddress(state);
  if (leader === undefined || !hasSpareVoter(state)) {
    return [];
  }
  const message: PeerMessage = { type: 'leave', from: { nodeId, storageId } };
  return [{ type: 'send-peer', to: leader, message }];
}

function unavailable(requestId: RequestId, reason: string): GroupEffect {
  return { type: 'reply', requestId, reply: { type: 'unavailable', reason } };
}
