/**
 * @file The balancer's state machine: handles one event and returns effects. It is deterministic; time and randomness
 * come from the step context.
 */
import { match } from 'ts-pattern';
import { packedAddressKey, type Address } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import { handleLinkClosed } from '../dissemination/link-selection.js';
import { toEnvelope, unpackEnvelope } from '../flow/envelope.js';
import { hasLongHeader } from '../flow/header.js';
import { countError, type BalancerState } from './balancer-state.js';
import type { BalancerEffect, BalancerEvent } from './balancer-events.js';
import {
  controlLinksTick,
  handlePeerDatagram,
  leaveGossip,
  handleUplinkMessage,
  handleUplinkOpened,
  handlePeerClosed,
  handlePeerMessage,
} from './control-links.js';
import { routePacket } from './forwarding.js';
import { handleProbeResult, probesDue, sharedHealthTick } from './shared-health.js';
import { expireOpens } from './open-attempts.js';
import { handleOpen, handleOpenReply } from './open-handling.js';

/**
 * Handles one event and updates the state.
 * @returns the effects, to be performed in order
 */
export function balancerStep(
  state: BalancerState,
  event: BalancerEvent,
  context: StepContext,
): BalancerEffect[] {
  // Hot path: checked before the slower pattern match, as this event occurs for every packet.
  if (event.type === 'client-datagram') {
    return handleClientDatagram(state, event.datagram, event.replyTo, context);
  }
  return match(event)
    .with({ type: 'backend-datagram' }, ({ datagram }) => handleOpenReply(state, datagram, context))
    .with({ type: 'link-opened' }, ({ linkId }) => handleUplinkOpened(state, linkId, context))
    .with({ type: 'link-message' }, ({ linkId, message }) => {
      const { effects, hasChanged } = handleUplinkMessage(state, linkId, message, context);
      return hasChanged ? [...effects, ...probesDue(state, context)] : effects;
    })
    .with({ type: 'link-closed' }, ({ linkId }) => {
      handleLinkClosed(state.subscription, linkId, context.nowMs);
      return [];
    })
    .with({ type: 'peer-message' }, ({ linkId, message }) =>
      handlePeerMessage(state, linkId, message, context),
    )
    .with({ type: 'peer-closed' }, ({ linkId }) => {
      handlePeerClosed(state, linkId);
      return [];
    })
    .with({ type: 'gossip' }, ({ message, from }) =>
      handlePeerDatagram(state, message, from, context),
    )
    .with({ type: 'probe-result' }, ({ result }) => {
      handleProbeResult(state, result, context);
      return [];
    })
    .with({ type: 'tick' }, () => handleTick(state, context))
    .with({ type: 'stop' }, () => {
      state.stopping = true;
      return leaveGossip(state, context);
    })
    .exhaustive();
}

function handleClientDatagram(
  state: BalancerState,
  datagram: Uint8Array,
  replyTo: Address,
  context: StepContext,
): BalancerEffect[] {
  const envelope = unpackEnvelope(datagram);
  if (envelope.isErr()) {
    countError(state, envelope.error.kind);
    return [];
  }
  const { serviceHost, servicePort, packet } = envelope.value;
  if (hasLongHeader(packet)) {
    return handleOpen(state, toEnvelope(envelope.value), replyTo, context);
  }
  const serviceAddress = packedAddressKey(serviceHost, servicePort);
  const target = routePacket(state, serviceAddress, packet, context.nowMs);
  if (target.isErr()) {
    countError(state, target.error.kind);
    return [];
  }
  state.forwardedPackets += 1;
  return [{ type: 'send', to: target.value, via: 'backends', datagram }];
}

function handleTick(state: BalancerState, context: StepContext): BalancerEffect[] {
  return [
    ...expireOpens(state, context),
    ...controlLinksTick(state, context),
    ...sharedHealthTick(state, context),
  ];
}
