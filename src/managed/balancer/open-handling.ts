/**
 * @file Opens: choosing a back end, retrying on another one, and answering the caller. Pending
 * opens are the only state per flow; the table is bounded and its entries expire.
 */
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import type { Address } from '../../shared/common/address.js';
import { addressKey, formatAddress } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import type { Service } from '../control/routing-config.js';
import { decodeEnvelope, encodeEnvelope, type Envelope } from '../flow/envelope.js';
import {
  amberliftError,
  type AmberliftError,
  type ErrorKind,
} from '../../shared/common/error-kinds.js';
import { answerFor } from '../../shared/common/error-kinds.js';
import {
  encodeLongHeader,
  FLOW_ID_LENGTH_BYTES,
  hasLongHeader,
  parseLongHeader,
} from '../flow/header.js';
import { decodeMessage, encodeMessage, type OpenMessage } from '../flow/messages.js';
import {
  hasValidMac,
  mintToken,
  readBackendId,
  readKeyId,
  TOKEN_LENGTH_BYTES,
} from '../flow/token.js';
import type { OpenOutcome } from '../health/judgement.js';
import {
  admitOpen,
  admitRetry,
  updateServices,
  OVERLOAD_RETRY_AFTER_MS,
  releaseOpen,
  type OpenRefusal,
} from '../limits/open-limits.js';
import type { BalancerEffect, SendEffect } from './balancer-events.js';
import { countError, type BalancerState } from './balancer-state.js';
import type { PendingOpen } from './pending-open.js';
import { recordAttempt, recordAttemptEnd } from './backend-evidence.js';
import { chooseBackend } from './choose-backend.js';
import { recordOpenLatency } from './open-latencies.js';

const EMPTY_ID = new Uint8Array(0);

interface ParsedOpen {
  readonly flowId: Uint8Array;
  readonly message: OpenMessage;
}

/**
 * Takes an open from a caller.
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
 * Takes a back end's answer to an open.
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
      forgetOpen(state, open);
      state.acceptedOpens += 1;
      recordOpenLatency(state.openLatencies, context.nowMs - open.receivedAtMs);
      const effect: SendEffect = { type: 'send', to: open.replyTo, via: 'fabric', datagram };
      return [effect];
    })
    .with({ type: 'refuse' }, ({ kind, incarnation }) => {
      countError(state, kind);
      // A late answer of a back end that was given up says nothing of the present one.
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

function parseOpen(packet: Uint8Array): Result<ParsedOpen, AmberliftError> {
  return parseLongHeader(packet).andThen(({ sourceId, body }) => {
    if (sourceId.length !== FLOW_ID_LENGTH_BYTES) {
      return err(amberliftError('malformed-datagram', 'The flow ID has a wrong length.'));
    }
    return decodeMessage(body).andThen((message) =>
      message.type === 'open'
        ? ok({ flowId: sourceId, message })
        : err(amberliftError('malformed-datagram', 'A long header carries no open.')),
    );
  });
}

function parseOpenReply(datagram: Uint8Array) {
  return decodeEnvelope(datagram).andThen((envelope) => {
    if (!hasLongHeader(envelope.packet)) {
      return err(amberliftError('malformed-datagram', 'An answer to an open has a long header.'));
    }
    return parseLongHeader(envelope.packet).andThen(({ destinationId, sourceId, body }) =>
      sourceId.length === TOKEN_LENGTH_BYTES
        ? decodeMessage(body).map((message) => ({
            envelope,
            flowId: destinationId,
            token: sourceId,
            message,
          }))
        : err(amberliftError('malformed-datagram', 'An answer to an open carries no token.')),
    );
  });
}

function pendingKey(client: Address, flowId: Uint8Array): string {
  return `${formatAddress(client)}/${Buffer.from(flowId).toString('hex')}`;
}

function attemptOpen(state: BalancerState, open: PendingOpen, context: StepContext): SendEffect {
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

function retryOpen(
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

function endAttempt(
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

function admit(
  state: BalancerState,
  service: Service,
  { nowMs }: StepContext,
): OpenRefusal | undefined {
  updateServices(state.limits, state.config.services, state.position.index);
  const { options: limits, fleet } = state;
  const surroundings = { liveBalancerCount: fleet.balancerCount, limits, nowMs };
  return admitOpen(state.limits, service, surroundings);
}

function forgetOpen(state: BalancerState, open: PendingOpen): void {
  state.pendingOpens.delete(open.key);
  releaseOpen(state.limits, open.service.owner);
}

/**
 * A refused open is truthfully "not run": an open runs nothing. It is refused at once; when to come
 * back is spread at random over as long again, so that refused callers don't come back all together.
 */
function refuseOpen(
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
