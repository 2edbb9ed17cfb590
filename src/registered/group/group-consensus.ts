/**
 * @file How a control machine of a group takes the effects of its consensus: committed entries change the
 * replicated state and answer the calls behind them, messages go out, snapshots are taken in time.
 */
import { match } from 'ts-pattern';
import type { StepContext } from '../../shared/common/step.js';
import type { ConsensusEffect, ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import { consensusStep } from '../../shared/consensus/consensus-step.js';
import { currentMembership } from '../../shared/consensus/consensus-state.js';
import type { LogEntry } from '../../shared/consensus/log.js';
import { findMember, votersOf } from '../../shared/consensus/membership.js';
import type { ConsensusMessage } from '../../shared/consensus/messages.js';
import type { GroupEffect } from './group-events.js';
import type { LeaderReply, PeerMessage } from './group-messages.js';
import type { GroupState } from './group-state.js';
import { finishCall, finishRead, refused } from './leader-requests.js';
import { decodeGroupCommand, type AppliedChange } from './replicated-state.js';
import { recordZoneChange } from './zone-duties.js';

/** Proposal ID of the leader's own changes of the membership, for which nobody waits. */
export const OWN_PROPOSAL = 0;
/** A snapshot is taken after so many bytes of commands. */
const SNAPSHOT_AFTER_BYTES = 2 * 1024 * 1024;
/** ... or after so many entries. */
const SNAPSHOT_AFTER_ENTRIES = 256;

/**
 * Runs the consensus step and takes its effects, among them those that change the state here.
 */
export function runConsensus(
  state: GroupState,
  event: ConsensusEvent,
  context: StepContext,
): GroupEffect[] {
  const effects = consensusStep(state.consensus, event, context);
  const taken = effects.flatMap((effect) => handleConsensusEffect(state, effect, context.nowMs));
  return [...taken, ...takeSnapshotWhereDue(state, context)];
}

function handleConsensusEffect(
  state: GroupState,
  consensusEffect: ConsensusEffect,
  nowMs: number,
): GroupEffect[] {
  return match(consensusEffect)
    .with({ type: 'persist' }, { type: 'persist-snapshot' }, (effect): GroupEffect[] => [effect])
    .with({ type: 'consensus-send' }, ({ to, message }) => sendConsensus(state, to, message))
    .with({ type: 'committed' }, ({ entries }) =>
      entries.flatMap((entry) => applyEntry(state, entry, nowMs)),
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

function applyEntry(state: GroupState, entry: LogEntry, nowMs: number): GroupEffect[] {
  const { content, index, term } = entry;
  if (content.type === 'membership') {
    state.pendingUpdates.areControlsChanged = true;
    return [membershipDecision(state, index)];
  }
  if (content.type === 'no-op') {
    return [];
  }
  const change = state.replicated.apply(decodeGroupCommand(content.data));
  const decisions = recordChange(state, change, nowMs);
  const proposal = state.proposals.get(index);
  state.proposals.delete(index);
  if (proposal?.term !== term) {
    return decisions;
  }
  return [...decisions, ...finishCall(state, proposal.proposalId, answerTo(change))];
}

function answerTo(change: AppliedChange): LeaderReply {
  return change.type === 'order-outdated'
    ? refused(`Another order for zone ${change.order.zone} came between.`)
    : { type: 'committed' };
}

function recordChange(state: GroupState, applied: AppliedChange, nowMs: number): GroupEffect[] {
  return match(applied)
    .with({ type: 'config-changed' }, ({ document }): GroupEffect[] => {
      const config = state.options.readDocument(document);
      state.configs.apply(config);
      const fields = { version: document.version, routes: config.routes.length };
      return [{ type: 'decision', name: 'config in force', fields }];
    })
    .with({ type: 'departure-noted' }, ({ departure }): GroupEffect[] => {
      state.pendingUpdates.departed.add(departure.backendId);
      return [{ type: 'decision', name: 'departure', fields: { ...departure } }];
    })
    .with({ type: 'zone-changed' }, ({ status }) => recordZoneChange(state, status, nowMs))
    .with({ type: 'order-outdated' }, ({ order }): GroupEffect[] => [
      { type: 'decision', name: 'order outdated', fields: { ...order } },
    ])
    .with({ type: 'nothing-changed' }, () => [])
    .exhaustive();
}

function restore(state: GroupState, data: Uint8Array): GroupEffect[] {
  state.replicated.restore(data);
  const { config } = state.replicated;
  if (config !== undefined) {
    state.configs.apply(state.options.readDocument(config));
  }
  for (const { backendId } of state.replicated.allDepartures()) {
    state.pendingUpdates.departed.add(backendId);
  }
  state.pendingUpdates.areZonesChanged = true;
  state.isRegistrySeeded = false;
  return [{ type: 'decision', name: 'snapshot taken over', fields: { version: config?.version } }];
}

/** What was proposed may still be committed; the same call sent again tells. */
function abandonProposals(state: GroupState, kind: string): GroupEffect[] {
  state.proposals.clear();
  return [...state.pendingReplies.keys()].flatMap((proposalId) =>
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
