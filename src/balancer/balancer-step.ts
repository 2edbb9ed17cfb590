/**
 * @file The decision step of a balancer: one event in, effects out.
 */
import { match } from 'ts-pattern';
import type { Address } from '../common/address.js';
import type { StepContext } from '../common/step.js';
import { decodeEnvelope } from '../flow/envelope.js';
import { hasLongHeader } from '../flow/header.js';
import type { ProbeResult } from '../health/backend-report.js';
import { applyConfigUpdate, countError, type BalancerState } from './balancer-state.js';
import type { BalancerEffect, BalancerEvent } from './balancer-events.js';
import { routeEstablished } from './forwarding.js';
import { expireOpens, handleOpen, handleOpenReply } from './open-handling.js';

/**
 * Takes one event.
 * @returns the effects, in order
 */
export function balancerStep(
  state: BalancerState,
  event: BalancerEvent,
  context: StepContext,
): BalancerEffect[] {
  return match(event)
    .with({ type: 'client-datagram' }, ({ datagram, replyTo }) =>
      handleClientDatagram(state, datagram, replyTo, context),
    )
    .with({ type: 'backend-datagram' }, ({ datagram }) => handleOpenReply(state, datagram, context))
    .with({ type: 'config-update' }, ({ update }) => {
      applyConfigUpdate(state, update);
      return [];
    })
    .with({ type: 'probe-result' }, ({ result }) => {
      recordProbe(state, result, context);
      return [];
    })
    .with({ type: 'tick' }, () => expireOpens(state, context))
    .with({ type: 'stop' }, () => {
      state.stopping = true;
      return [];
    })
    .exhaustive();
}

function handleClientDatagram(
  state: BalancerState,
  datagram: Uint8Array,
  replyTo: Address,
  context: StepContext,
): BalancerEffect[] {
  const envelope = decodeEnvelope(datagram);
  if (envelope.isErr()) {
    countError(state, envelope.error.kind);
    return [];
  }
  if (hasLongHeader(envelope.value.packet)) {
    return handleOpen(state, envelope.value, replyTo, context);
  }
  const target = routeEstablished(state, envelope.value);
  if (target.isErr()) {
    countError(state, target.error.kind);
    return [];
  }
  state.forwardedPackets += 1;
  return [{ type: 'send', to: target.value, via: 'backends', datagram }];
}

function recordProbe(state: BalancerState, result: ProbeResult, context: StepContext): void {
  const view = state.views.get(result.backendId);
  if (view === undefined) {
    return;
  }
  view.health = result.health;
  if (result.load !== undefined) {
    view.load = result.load;
    view.loadReceivedAtMs = context.nowMs;
    view.opensSinceReport = 0;
  }
}
