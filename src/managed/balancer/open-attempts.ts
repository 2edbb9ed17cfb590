/**
 * @file Sends opens to back ends and retries refused or timed-out attempts, within the attempt limit, the deadline and
 * the retry budget. Retries are safe because an open executes no request.
 */
import type { StepContext } from '../../shared/common/step.js';
import { answerFor, type ErrorKind } from '../../shared/common/error-kinds.js';
import { encodeEnvelope } from '../flow/envelope.js';
import { encodeLongHeader } from '../flow/header.js';
import { encodeMessage } from '../flow/messages.js';
import { mintToken } from '../flow/token.js';
import type { OpenOutcome } from '../health/judgement.js';
import { admitRetry, OVERLOAD_RETRY_AFTER_MS, releaseOpen } from '../limits/open-limits.js';
import { recordAttempt, recordAttemptEnd } from './backend-evidence.js';
import type { BalancerEffect, SendEffect } from './balancer-events.js';
import { countError, type BalancerState } from './balancer-state.js';
import { chooseBackend } from './choose-backend.js';
import type { PendingOpen } from './pending-open.js';

/** A refusal carries no token. */
const EMPTY_CONNECTION_ID = new Uint8Array(0);

/**
 * Ends timed-out attempts. Each open is retried on another back end or refused.
 */
export function expireOpens(state: BalancerState, context: StepContext): BalancerEffect[] {
  const effects: BalancerEffect[] = [];
  for (const open of state.pendingOpens.values()) {
    if (open.attemptEndsAtMs <= context.nowMs) {
      endAttempt(state, open, 'timed-out', undefined, context);
      const isPastDeadline = open.deadlineAtMs <= context.nowMs;
      const cause = isPastDeadline ? 'deadline-exceeded' : 'no-backend-ready';
      effects.push(retryOpen(state, open, cause, context));
    }
  }
  return effects;
}

/**
 * Sends the open to the next back end.
 * @returns the datagram to the back end, or the refusal to the caller if no back end remains
 */
export function attemptOpen(
  state: BalancerState,
  open: PendingOpen,
  context: StepContext,
): SendEffect {
  const keyId = state.currentKeyId;
  const key = keyId === undefined ? undefined : state.preparedKeys.get(keyId);
  const view = chooseBackend(state, open, context);
  if (view === undefined || keyId === undefined || key === undefined) {
    removeOpen(state, open);
    return refuseOpen(state, open, 'no-backend-ready', context);
  }
  const backend = view.backend;
  open.triedBackendIds.push(backend.id);
  open.attemptEndsAtMs = Math.min(
    context.nowMs + state.options.openAttemptTimeoutMs,
    open.deadlineAtMs,
  );
  recordAttempt(state, view, context);
  state.limits.sentOpens += 1;
  const fields = {
    keyId,
    serviceId: open.service.id,
    backendId: backend.id,
    incarnation: view.health?.incarnation ?? 0,
    flowId: open.flowId,
  };
  const body = encodeMessage({ type: 'open', deadlineMs: open.deadlineAtMs - context.nowMs });
  const packet = encodeLongHeader(mintToken(fields, key), open.flowId, body);
  const datagram = encodeEnvelope({ client: open.client, service: open.service.address, packet });
  return { type: 'send', to: backend.address, via: 'backends', datagram };
}

/**
 * Sends the open to another back end, or refuses it if no retry is allowed.
 * @param cause the error kind of the refusal
 */
export function retryOpen(
  state: BalancerState,
  open: PendingOpen,
  cause: ErrorKind,
  context: StepContext,
): SendEffect {
  const attemptsExhausted = open.triedBackendIds.length >= state.options.maxOpenAttempts;
  const isPastDeadline = open.deadlineAtMs <= context.nowMs;
  if (attemptsExhausted || isPastDeadline || !admitRetry(state.limits, open.service.id)) {
    removeOpen(state, open);
    return refuseOpen(state, open, cause, context);
  }
  return attemptOpen(state, open, context);
}

/**
 * Records the outcome of the current attempt.
 * @param incarnation the back end's current incarnation, if its reply contained one
 */
export function endAttempt(
  state: BalancerState,
  open: PendingOpen,
  outcome: OpenOutcome,
  incarnation: number | undefined,
  context: StepContext,
): void {
  const view = state.views.get(open.triedBackendIds.at(-1) ?? 0);
  if (view !== undefined) {
    recordAttemptEnd(state, view, outcome, incarnation, context);
  }
}

/**
 * Removes an open from the pending ones and from its owner's share.
 */
export function removeOpen(state: BalancerState, open: PendingOpen): void {
  state.pendingOpens.delete(open.key);
  releaseOpen(state.limits, open.service.owner);
}

/**
 * Refuses an open. The retry delay gets random jitter of up to 100 %, so that refused callers don't retry all at once.
 * @param retryAfterMs minimum retry delay of the caller
 */
export function refuseOpen(
  state: BalancerState,
  open: PendingOpen,
  kind: ErrorKind,
  { random }: StepContext,
  retryAfterMs = OVERLOAD_RETRY_AFTER_MS,
): SendEffect {
  countError(state, kind);
  const jitteredMs = Math.ceil(retryAfterMs * (1 + random.nextFloat()));
  const body = encodeMessage({
    type: 'refuse',
    kind,
    surelyNotRun: true,
    ...(answerFor(kind).retryable && { retryAfterMs: jitteredMs }),
  });
  const packet = encodeLongHeader(open.flowId, EMPTY_CONNECTION_ID, body);
  const datagram = encodeEnvelope({ client: open.client, service: open.service.address, packet });
  return { type: 'send', to: open.replyTo, via: 'fabric', datagram };
}
