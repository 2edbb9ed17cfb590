/**
 * @file When is an open sent to another back end, and when is it given up? It is tried on another one after a refusal or
 * after `openAttemptTimeoutMs` without an answer, until one accepts it, and given up where
 *
 * 1. it was tried on `maxOpenAttempts` back ends,
 * 2. its deadline has passed,
 * 3. the retry budget of its service is used up (`limits/retry-budget.ts`), or
 * 4. no candidate is left (`choose-backend.ts`).
 *
 * An open that is given up is refused at once: where no candidate is left with `no-backend-ready`, otherwise with the kind
 * of the last failure, which is the back end's own kind, `no-backend-ready` or `deadline-exceeded`. Retrying is safe, since an open runs nothing. The two settings are not measured: too low a timeout
 * shows as `amberlift_open_answers_late_total`, too high a one as opens that end in `deadline-exceeded`.
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

/** A refusal names no token. */
const EMPTY_ID = new Uint8Array(0);

/**
 * Ends attempts whose time is up: on another back end, or with a refusal at the open's deadline.
 */
export function expireOpens(state: BalancerState, context: StepContext): BalancerEffect[] {
  const effects: BalancerEffect[] = [];
  for (const open of state.pendingOpens.values()) {
    if (open.attemptEndsAtMs <= context.nowMs) {
      endAttempt(state, open, 'timed-out', undefined, context);
      const isLate = open.deadlineAtMs <= context.nowMs;
      const cause = isLate ? 'deadline-exceeded' : 'no-backend-ready';
      effects.push(retryOpen(state, open, cause, context));
    }
  }
  return effects;
}

/**
 * Sends the open to a back end.
 * @returns the open to the back end chosen, or the refusal where none is left
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
    forgetOpen(state, open);
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
 * Sends the open to another back end, or gives it up.
 * @param cause what the caller is refused with where the open is given up
 */
export function retryOpen(
  state: BalancerState,
  open: PendingOpen,
  cause: ErrorKind,
  context: StepContext,
): SendEffect {
  const exhausted = open.triedBackendIds.length >= state.options.maxOpenAttempts;
  const isLate = open.deadlineAtMs <= context.nowMs;
  if (exhausted || isLate || !admitRetry(state.limits, open.service.id)) {
    forgetOpen(state, open);
    return refuseOpen(state, open, cause, context);
  }
  return attemptOpen(state, open, context);
}

/**
 * Records how the attempt at the present back end ended.
 * @param incarnation the back end's present incarnation, where its answer carried one
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
 * Ends an open: it is no longer pending.
 */
export function forgetOpen(state: BalancerState, open: PendingOpen): void {
  state.pendingOpens.delete(open.key);
  releaseOpen(state.limits, open.service.owner);
}

/**
 * Refuses an open. A refused open never ran, since an open runs nothing. The time after which to retry is spread at
 * random up to twice as long, so that refused callers don't return all at once.
 * @param retryAfterMs least time after which the caller should retry
 */
export function refuseOpen(
  state: BalancerState,
  open: PendingOpen,
  kind: ErrorKind,
  { random }: StepContext,
  retryAfterMs = OVERLOAD_RETRY_AFTER_MS,
): SendEffect {
  countError(state, kind);
  const spreadMs = Math.ceil(retryAfterMs * (1 + random.nextFloat()));
  const body = encodeMessage({
    type: 'refuse',
    kind,
    surelyNotRun: true,
    ...(answerFor(kind).retryable && { retryAfterMs: spreadMs }),
  });
  const packet = encodeLongHeader(open.flowId, EMPTY_ID, body);
  const datagram = encodeEnvelope({ client: open.client, service: open.service.address, packet });
  return { type: 'send', to: open.replyTo, via: 'fabric', datagram };
}
