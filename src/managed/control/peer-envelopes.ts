/**
 * @file Messages of other control machines. Announcements are recorded (`cluster-join.ts`); messages of the consensus pass
 * the gate (`peer-gate.ts`) first. A refusal of a peer is kept for the log.
 */
import type { StepContext } from '../../shared/common/step.js';
import { applyAnnouncement } from './cluster-join.js';
import { runConsensus } from './consensus-driver.js';
import type { ControlEffect } from './control-events.js';
import type { ControlState } from './control-state.js';
import { decideAtGate, peerSend } from './peer-gate.js';
import type { PeerEnvelope } from './peer-messages.js';

/**
 * Handles a message of another control machine.
 * @returns the answer to an announcement, a refusal, or the effects of the consensus
 */
export function handleEnvelope(
  state: ControlState,
  envelope: PeerEnvelope,
  context: StepContext,
): ControlEffect[] {
  const { message, from, replyTo } = envelope;
  if (message.type === 'peer-refusal') {
    state.join.refusal = message.reason;
    return [];
  }
  if (message.type === 'announcement' && envelope.proof === state.proof) {
    applyAnnouncement(state.join, state.consensus, envelope, message, context.nowMs);
    return message.wantsAnswer ? [announce(state, replyTo, from, false)] : [];
  }
  const decision = decideAtGate(state, envelope);
  if (decision === 'ignore' || message.type === 'announcement') {
    return decision === 'ignore' || typeof decision === 'string'
      ? []
      : [peerSend(state, replyTo, from, decision)];
  }
  if (typeof decision === 'object') {
    return [peerSend(state, replyTo, from, decision)];
  }
  state.join.replyAddresses.set(from.nodeId, replyTo);
  const joining =
    decision === 'join-cluster' && envelope.clusterId !== undefined
      ? runConsensus(state, { type: 'join-cluster', clusterId: envelope.clusterId }, context)
      : [];
  return [
    ...joining,
    ...runConsensus(state, { type: 'consensus-message', from, message }, context),
  ];
}

/**
 * @param wantsAnswer false in the answer to an announcement
 * @returns the effect that announces this machine to another one
 */
export function announce(
  state: ControlState,
  address: PeerEnvelope['replyTo'],
  to: PeerEnvelope['to'],
  wantsAnswer: boolean,
): ControlEffect {
  const { operatorAddress } = state.join;
  return peerSend(state, address, to, { type: 'announcement', operatorAddress, wantsAnswer });
}
