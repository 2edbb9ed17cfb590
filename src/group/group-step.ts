/**
 * @file The decision step of a control machine of a group: calls of back ends and operators, messages
 * of the other control machines, links of balancers, and the disk.
 */
import { match } from 'ts-pattern';
import { formatAddress } from '../common/address.js';
import type { StepContext } from '../common/step.js';
import { consensusStep } from '../consensus/consensus-step.js';
import type { ConsensusEffect, ConsensusEvent } from '../consensus/consensus-events.js';
import { currentMembership } from '../consensus/consensus-state.js';
import type { LogEntry } from '../consensus/log.js';
import { findMember, votersOf } from '../consensus/membership.js';
import type { ConsensusMessage } from '../consensus/messages.js';
import { isLaterDeparture, type BackendRecord } from '../registry/backend-record.js';
import {
  addSubscriber,
  feedSubscribers,
  removeSubscriber,
  shareWithPeers,
  takeBalancers,
} from './balancer-feed.js';
import type { GroupEffect, GroupEvent, RequestId } from './group-events.js';
import type { AgedRecord, PeerMessage } from './group-messages.js';
import { isCurrent, leaderAddress, type GroupState } from './group-state.js';
import {
  expireCalls,
  finishCall,
  finishRead,
  refused,
  startCall,
  takeForward,
  takeForwardReply,
} from './leader-requests.js';
import {
  announceWhereDue,
  firstMembershipEvent,
  hasSpareVoter,
  nextMemberChange,
  noteAnnouncement,
} from './membership-duties.js';
import { nextRegistryCommand, seedRegistry } from './registry-duties.js';
import { decodeGroupCommand, encodeGroupCommand, type AppliedChange } from './replicated-state.js';

/** Proposal ID of the leader's own changes of the membership, for which nobody waits. */
const OWN_PROPOSAL = 0;
/** A snapshot is taken after so many bytes of commands. */
const SNAPSHOT_AFTER_BYTES = 2 * 1024 * 1024;
/** ... or after so many entries. */
const SNAPSHOT_AFTER_ENTRIES = 256;

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
  const run = (consensusEvent: ConsensusEvent) => runConsensus(state, consensusEvent, context);
  return match(event)
    .with({ type: 'heartbeat' }, (call) => takeHeartbeat(state, call, context))
    .with({ type: 'deregister' }, ({ requestId, backendId }) =>
      noteDeparture(state, requestId, { backendId, kind: 'gone' }, context),
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
    .with({ type: 'peer-message' }, ({ message }) => takePeerMessage(state, message, context))
    .with({ type: 'subscribe' }, ({ linkId, message }) => {
      addSubscriber(state, linkId, message);
      return feedSubscribers(state, nowMs);
    })
    .with({ type: 'link-closed' }, ({ linkId }) => {
      removeSubscriber(state, linkId);
      return [];
    })
    .with({ type: 'persisted' }, { type: 'persist-failed' }, (ended) => run(ended))
    .with({ type: 'tick' }, () => tick(state, context))
    .with({ type: 'stop' }, () => stop(state, run))
    .exhaustive();
}

function takeHeartbeat(
  state: GroupState,
  call: Extract<GroupEvent, { type: 'heartbeat' }>,
  context: StepContext,
): GroupEffect[] {
  const { requestId, record, isDraining } = call;
  if (!isCurrent(state, context.nowMs)) {
    return [unavailable(requestId, 'This machine follows no leader.')];
  }
  noteRecord(state, record, context.nowMs);
  if (isDraining) {
    return noteDeparture(state, requestId, { backendId: record.id, kind: 'draining' }, context);
  }
  return [{ type: 'reply', requestId, reply: { type: 'accepted' } }];
}

function noteRecord(state: GroupState, record: BackendRecord, nowMs: number): void {
  if (state.registry.take(record, nowMs)) {
    const aged: AgedRecord = { record, ageMs: 0 };
    state.heartbeatsToShare.push(aged);
    state.changes.records.push(aged);
  }
}

/** What is committed already needs no leader: a departure is final. */
function noteDeparture(
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

function takePeerMessage(
  state: GroupState,
  peerMessage: PeerMessage,
  context: StepContext,
): GroupEffect[] {
  const { nowMs } = context;
  const run = (event: ConsensusEvent) => runConsensus(state, event, context);
  return match(peerMessage)
    .with({ type: 'consensus' }, (message) => takeConsensusMessage(state, message, context))
    .with({ type: 'announce' }, (message) => noteAnnouncement(state, message, nowMs))
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
      for (const aged of records) {
        if (state.registry.take(aged.record, nowMs - aged.ageMs)) {
          state.changes.records.push(aged);
        }
      }
      return [];
    })
    .with({ type: 'balancers' }, ({ sender, balancers }) => {
      takeBalancers(state, formatAddress(sender), balancers, nowMs);
      return [];
    })
    .with({ type: 'forward' }, (message) => takeForward(state, message, run))
    .with({ type: 'forward-reply' }, (message) => takeForwardReply(state, message))
    .exhaustive();
}

function takeConsensusMessage(
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
  if (!state.isRegistrySeeded) {
    state.isRegistrySeeded = true;
    seedRegistry(state, nowMs);
  }
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
  effects.push(...shareWithPeers(state, nowMs));
  effects.push(...feedSubscribers(state, nowMs));
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

/** Runs the consensus step and takes its effects, among them those that change the state here. */
function runConsensus(
  state: GroupState,
  event: ConsensusEvent,
  context: StepContext,
): GroupEffect[] {
  const effects = consensusStep(state.consensus, event, context);
  const taken = effects.flatMap((effect) => takeConsensusEffect(state, effect));
  return [...taken, ...takeSnapshotWhereDue(state, context)];
}

function takeConsensusEffect(state: GroupState, consensusEffect: ConsensusEffect): GroupEffect[] {
  return match(consensusEffect)
    .with({ type: 'persist' }, { type: 'persist-snapshot' }, (effect): GroupEffect[] => [effect])
    .with({ type: 'consensus-send' }, ({ to, message }) => sendConsensus(state, to, message))
    .with({ type: 'committed' }, ({ entries }) =>
      entries.flatMap((entry) => applyEntry(state, entry)),
    )
    .with({ type: 'restore-snapshot' }, ({ snapshot }) => restore(state, snapshot.data))
    .with({ type: 'proposal-appended' }, ({ proposalId, index, term }) => {
      if (proposalId !== OWN_PROPOSAL) {
        state.proposals.set(index, { proposalId, term });
      }
      return [];
    })
    .with({ type: 'proposal-refused' }, ({ proposalId, reason }) =>
      finishCall(state, proposalId, refused(reason)),
    )
    .with({ type: 'read-ready' }, ({ readId }) => finishRead(state, readId))
    .with({ type: 'read-refused' }, ({ readId, kind }) =>
      finishCall(state, readId, refused(`The read was refused: ${kind}.`)),
    )
    .with({ type: 'leadership-lost' }, ({ kind }) => abandonProposals(state, kind))
    .with({ type: 'role-changed' }, () => [roleDecision(state)])
    .exhaustive();
}

function sendConsensus(state: GroupState, to: string, message: ConsensusMessage): GroupEffect[] {
  const { consensus, options, replyAddresses } = state;
  const member = findMember(currentMembership(consensus), to);
  const address = member?.linkAddress ?? replyAddresses.get(to);
  if (address === undefined || consensus.clusterId === undefined) {
    return [];
  }
  const peerMessage: PeerMessage = {
    type: 'consensus',
    clusterId: consensus.clusterId,
    from: { nodeId: consensus.nodeId, storageId: consensus.storageId },
    replyTo: options.linkAddress,
    toNodeId: to,
    message,
  };
  return [{ type: 'send-peer', to: address, message: peerMessage }];
}

function applyEntry(state: GroupState, entry: LogEntry): GroupEffect[] {
  const { content, index, term } = entry;
  if (content.type === 'membership') {
    state.changes.listsChanged = true;
    return [membershipDecision(state, index)];
  }
  if (content.type === 'no-op') {
    return [];
  }
  const change = state.replicated.apply(decodeGroupCommand(content.data));
  const decisions = noteChange(state, change);
  const proposal = state.proposals.get(index);
  state.proposals.delete(index);
  if (proposal?.term !== term) {
    return decisions;
  }
  return [...decisions, ...finishCall(state, proposal.proposalId, { type: 'committed' })];
}

function noteChange(state: GroupState, applied: AppliedChange): GroupEffect[] {
  return match(applied)
    .with({ type: 'config-changed' }, ({ document }): GroupEffect[] => {
      state.config = state.options.readDocument(document);
      const fields = { version: document.version, routes: state.config.routes.length };
      return [{ type: 'decision', name: 'config in force', fields }];
    })
    .with({ type: 'departure-noted' }, ({ departure }): GroupEffect[] => {
      state.changes.departures.push(departure);
      return [{ type: 'decision', name: 'departure', fields: { ...departure } }];
    })
    .with({ type: 'nothing-changed' }, () => [])
    .exhaustive();
}

function restore(state: GroupState, data: Uint8Array): GroupEffect[] {
  state.replicated.restore(data);
  const { config } = state.replicated;
  state.config = config === undefined ? undefined : state.options.readDocument(config);
  state.changes.departures = state.replicated.allDepartures();
  state.isRegistrySeeded = false;
  return [{ type: 'decision', name: 'snapshot taken over', fields: { version: config?.version } }];
}

/** What was proposed may still be committed; the same call sent again tells. */
function abandonProposals(state: GroupState, kind: string): GroupEffect[] {
  state.proposals.clear();
  return [...state.answers.keys()].flatMap((proposalId) =>
    finishCall(state, proposalId, refused(`Leadership was lost: ${kind}.`)),
  );
}

function takeSnapshotWhereDue(state: GroupState, context: StepContext): GroupEffect[] {
  const { consensus, replicated } = state;
  const snapshotIndex = consensus.snapshot?.index ?? 0;
  const entries = consensus.commitIndex - snapshotIndex;
  const bytes = entries * (replicated.config?.text.length ?? 0);
  const isDue = entries >= SNAPSHOT_AFTER_ENTRIES || (entries > 0 && bytes >= SNAPSHOT_AFTER_BYTES);
  if (!isDue) {
    return [];
  }
  const data = replicated.encode();
  return runConsensus(
    state,
    { type: 'snapshot-taken', index: consensus.commitIndex, data },
    context,
  );
}

function unavailable(requestId: RequestId, reason: string): GroupEffect {
  return { type: 'reply', requestId, reply: { type: 'unavailable', reason } };
}

function roleDecision(state: GroupState): GroupEffect {
  const { role, term, leaderId, commitIndex } = state.consensus;
  const fields = { role: role.name, term, leader: leaderId, commit: commitIndex };
  return { type: 'decision', name: 'role', fields };
}

function membershipDecision(state: GroupState, index: number): GroupEffect {
  const membership = currentMembership(state.consensus);
  const members = membership.members.map(({ nodeId }) => nodeId).join(' ');
  const fields = { index, voters: votersOf(membership).length, members };
  return { type: 'decision', name: 'membership', fields };
}
