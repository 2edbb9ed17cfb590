/**
 * @file Handles opens from callers and the replies of back ends. Refusals and dropped datagrams are counted by error kind
 * (`amberlift_errors_total`) and not logged.
 */
import { match } from 'ts-pattern';
import { addressKey, type Address } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import type { Service } from '../control/routing-config.js';
import type { Envelope } from '../flow/envelope.js';
import { hasValidMac, readBackendId, readKeyId } from '../flow/token.js';
import { admitOpen, updateServices, type OpenRefusal } from '../limits/open-limits.js';
import type { BalancerEffect, SendEffect } from './balancer-events.js';
import { countError, type BalancerState } from './balancer-state.js';
import { attemptOpen, endAttempt, removeOpen, refuseOpen, retryOpen } from './open-attempts.js';
import { recordOpenLatency } from './open-latencies.js';
import { parseOpen, parseOpenReply } from './open-packets.js';
import { pendingKey, type PendingOpen } from './pending-open.js';

/**
 * Handles an open from a caller.
 * @param replyTo fabric address for the reply
 * @returns the open to a back end or the refusal; nothing for a duplicate or an invalid packet
 */
export function handleOpen(
  state: BalancerState,
  envelope: Envelope,
  replyTo: Address,
  context: StepContext,
): BalancerEffect[] {
  const parsed = parseOpen(envelope.packet);
  if (parsed.isErr()) {
    countError(state, parsed.error.kind);
    return [];
  }
  const service = state.servicesByAddress.get(addressKey(envelope.service));
  if (service === undefined) {
    countError(state, 'unknown-service');
    return [];
  }
  const { flowId, message } = parsed.value;
  const key = pendingKey(envelope.client, flowId);
  if (state.pendingOpens.has(key)) {
    state.limits.repeatedOpens += 1;
    return [];
  }
  const open: PendingOpen = {
    key,
    flowId: Uint8Array.from(flowId),
    client: envelope.client,
    service,
    replyTo,
    receivedAtMs: context.nowMs,
    deadlineAtMs: context.nowMs + message.deadlineMs,
    triedBackendIds: [],
    attemptEndsAtMs: 0,
  };
  if (state.stopping) {
    return [refuseOpen(state, open, 'balancer-stopping', context)];
  }
  const refusal = admit(state, service, context);
  if (refusal !== undefined) {
    return [refuseOpen(state, open, refusal.kind, context, refusal.retryAfterMs)];
  }
  state.pendingOpens.set(key, open);
  return [attemptOpen(state, open, context)];
}

/**
 * Handles a back end's reply to an open.
 * @returns the accept to the caller, the next attempt or the refusal; nothing for a late or invalid reply
 */
export function handleOpenReply(
  state: BalancerState,
  datagram: Uint8Array,
  context: StepContext,
): BalancerEffect[] {
  const reply = parseOpenReply(datagram);
  if (reply.isErr()) {
    countError(state, reply.error.kind);
    return [];
  }
  const { envelope, flowId, token, message } = reply.value;
  const open = state.pendingOpens.get(pendingKey(envelope.client, flowId));
  if (open === undefined) {
    state.limits.lateAnswers += 1;
    return [];
  }
  const key = state.preparedKeys.get(readKeyId(token, 0));
  if (key === undefined || !hasValidMac(token, key)) {
    countError(state, 'forged-token');
    return [];
  }
  return match(message)
    .with({ type: 'accept' }, ({ incarnation }) => {
      endAttempt(state, open, 'accepted', incarnation, context);
      removeOpen(state, open);
      state.acceptedOpens += 1;
      recordOpenLatency(state.openLatencies, context.nowMs - open.receivedAtMs);
      const effect: SendEffect = { type: 'send', to: open.replyTo, via: 'fabric', datagram };
      return [effect];
    })
    .with({ type: 'refuse' }, ({ kind, incarnation }) => {
      countError(state, kind);
      // A late refusal from a timed-out back end doesn't end the attempt at the current one.
      if (readBackendId(token, 0) !== open.triedBackendIds.at(-1)) {
        return [];
      }
      endAttempt(state, open, 'refused', incarnation, context);
      return [retryOpen(state, open, kind, context)];
    })
    .otherwise(() => {
      countError(state, 'malformed-datagram');
      return [];
    });
}

function admit(
  state: BalancerState,
  service: Service,
  { nowMs }: StepContext,
): OpenRefusal | undefined {
  updateServices(state.limits, state.config.services, state.position.index);
  const { options: limits, fleet } = state;
  const admissionContext = { liveBalancerCount: fleet.balancerCount, limits, nowMs };
  return admitOpen(state.limits, service, admissionContext);
}
