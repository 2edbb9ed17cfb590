/**
 * @file Handles messages from other control machines. Announcements are recorded (`cluster-join.ts`), consensus messages
 * are processed if `peer-admission.ts` accepts them, and refusals are kept for the log and the status.
 */
import type { StepContext } from '../../shared/common/step.js';
import { applyAnnouncement } from './cluster-join.js';
import { runConsensus } from './consensus-driver.js';
import type { ControlEffect } from './control-events.js';
import type { ControlState } from './control-state.js';
import { checkAdmission, sendToAddress } from './peer-admission.js';
import type { PeerEnvelope } from './peer-messages.js';

/**
 * Handles a message from another control machine.
 * @returns the answer to an announcement, a refusal, or the effects of the consensus step
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
  const decision = checkAdmission(state, envelope);
  if (decision === 'ignore' || message.type === 'announcement') {
    return decision === 'ignore' || typeof decision === 'string'
      ? []
      : [sendToAddress(state, replyTo, from, decision)];
  }
  if (typeof decision === 'object') {
    return [sendToAddress(state, replyTo, from, decision)];
  }
  state.join.replyAddresses.set(from.nodeId, replyTo);
  if (decision === 'join-cluster') {
    state.join.refusal = undefined;
  }
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
 * @param wantsAnswer false if this is itself an answer
 * @returns the effect that announces this machine to another one
 */
export function announce(
  state: ControlState,
  address: PeerEnvelope['replyTo'],
  to: PeerEnvelope['to'],
  wantsAnswer: boolean,
): ControlEffect {
  const { operatorAddress } = state.join;
  return sendToAddress(state, address, to, { type: 'announcement', operatorAddress, wantsAnswer });
}
