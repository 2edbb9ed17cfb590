/**
 * @file Handles the messages of other control machines.
 */
import { match } from 'ts-pattern';
import { formatAddress } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import type { ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import { applyPeerBalancers } from './feed/balancer-list-exchange.js';
import { INTERNAL_PROPOSAL_ID, runConsensus, type ConsensusRunState } from './group-consensus.js';
import type { GroupEffect } from './group-events.js';
import { changeForLeaveRequest, handleAnnouncement } from './members/group-formation.js';
import type { PeerMessage } from './group-messages.js';
import type { GroupState } from './group-state.js';
import { applyHeartbeat } from './backends/heartbeats.js';
import { handleForward, handleForwardReply } from './calls/leader-requests.js';
import { applyLoadSums } from './feed/load-table-exchange.js';
import { applySuspicionSums } from './feed/suspicion-exchange.js';

/**
 * Handles a message of another control machine.
 * @returns the effects, in order
 */
export function handlePeerMessage(
  state: GroupState,
  peerMessage: PeerMessage,
  context: StepContext,
): GroupEffect[] {
  const { nowMs } = context;
  state.heartbeats.recordPeerMessage(nowMs);
  const run = (event: ConsensusEvent) => runConsensus(state, event, context);
  return match(peerMessage)
    .with({ type: 'consensus' }, (message) => handleConsensusMessage(state, message, context))
    .with({ type: 'announce' }, (message) => handleAnnouncement(state, message, nowMs))
    .with({ type: 'leave' }, (message) => {
      const change = changeForLeaveRequest(state, message);
      return change === undefined
        ? []
        : run({ type: 'change-membership', proposalId: INTERNAL_PROPOSAL_ID, change });
    })
    .with({ type: 'heartbeats' }, ({ records, sender, sequence }) => {
      if (sender !== undefined && sequence !== undefined) {
        state.heartbeats.contact.record(formatAddress(sender), sequence, nowMs);
      }
      records.forEach((aged) => applyHeartbeat(state, aged, nowMs));
      return [];
    })
    .with({ type: 'balancers' }, (message) => {
      applyPeerBalancers(state, message, nowMs);
      return [];
    })
    .with({ type: 'load-sums' }, (message) => {
      applyLoadSums(state, message, nowMs);
      applySuspicionSums(state, message, nowMs);
      return [];
    })
    .with({ type: 'forward' }, (message) => handleForward(state, message, run))
    .with({ type: 'forward-reply' }, (message) => handleForwardReply(state, message))
    .exhaustive();
}

/** Drops messages for another member or from another cluster. */
function handleConsensusMessage(
  state: ConsensusRunState,
  { clusterId, from, replyTo, toNodeId, message }: Extract<PeerMessage, { type: 'consensus' }>,
  context: StepContext,
): GroupEffect[] {
  const { consensus } = state;
  if (toNodeId !== consensus.nodeId) {
    return [];
  }
  if (consensus.clusterId !== undefined && consensus.clusterId !== clusterId) {
    return [];
  }
  state.announcements.recordReplyAddress(from.nodeId, replyTo);
  const joinEffects =
    consensus.clusterId === undefined
      ? runConsensus(state, { type: 'join-cluster', clusterId }, context)
      : [];
  return [
    ...joinEffects,
    ...runConsensus(state, { type: 'consensus-message', from, message }, context),
  ];
}
