/**
 * @file Event handler of a stand-in back end, without I/O, so that it runs in processes and simulators.
 */
import { match, P } from 'ts-pattern';
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import { decodeEnvelope, type Envelope } from '../../managed/flow/envelope.js';
import { hasLongHeader, parseShortHeader } from '../../managed/flow/header.js';
import { decodeMessage, type Message } from '../../managed/flow/messages.js';
import { TOKEN_LENGTH_BYTES } from '../../managed/flow/token.js';
import { drainTick, requestDrain } from './backend-drain.js';
import {
  cancelFeed,
  feedsTick,
  handleAcknowledge,
  handleSubscribe,
  publishNotice,
} from './backend-feed.js';
import {
  answerUnknownFlow,
  closeFlow,
  expireFlows,
  handleOpen,
  tokenKeyOf,
} from './backend-flows.js';
import { cancelRequest, handleRequest, requestsTick } from './backend-requests.js';
import type { BackendEffect } from './backend-send.js';
import {
  crashBackend,
  isDown,
  loadReport,
  type BackendAssignment,
  type BackendFlow,
  type BackendState,
} from './backend-state.js';

export type { BackendEffect } from './backend-send.js';

/** Time between two checks of all flows and feeds for timeouts. */
const SWEEP_INTERVAL_MS = 50;

/** Input of a back end. */
export type BackendEvent =
  | { readonly type: 'datagram'; readonly datagram: Uint8Array; readonly from: Address }
  | { readonly type: 'tick' }
  /** Drain request from the platform, an operator or a balancer. */
  | { readonly type: 'drain' }
  /** A notice from the publisher; numbers are consecutive from 1 and the same at every back end. */
  | { readonly type: 'publish'; readonly number: number; readonly payload: Uint8Array }
  /** IDs from a health probe; a higher back-end ID replaces a lower one. */
  | { readonly type: 'assign'; readonly assignment: BackendAssignment }
  /** Simulated crash and restart at the same address, without the state in memory. */
  | { readonly type: 'crash'; readonly incarnation: number; readonly downMs: number };

/**
 * Handles one event.
 * @returns the effects, in order
 */
export function backendStep(
  state: BackendState,
  event: BackendEvent,
  context: StepContext,
): BackendEffect[] {
  if (isDown(state, context.nowMs)) {
    return [];
  }
  return match(event)
    .with({ type: 'datagram' }, ({ datagram, from }) =>
      handleDatagram(state, datagram, from, context),
    )
    .with({ type: 'tick' }, () => handleTick(state, context))
    .with({ type: 'drain' }, () => requestDrain(state, context))
    .with({ type: 'publish' }, ({ number, payload }) =>
      publishNotice(state, number, payload, context),
    )
    .with({ type: 'assign' }, ({ assignment }) => {
      if (assignment.backendId > (state.assignment?.backendId ?? -1)) {
        state.assignment = assignment;
      }
      return [];
    })
    .with({ type: 'crash' }, ({ incarnation, downMs }) => {
      crashBackend(state, incarnation, downMs, context.nowMs);
      return [];
    })
    .exhaustive();
}

function handleDatagram(
  state: BackendState,
  datagram: Uint8Array,
  from: Address,
  context: StepContext,
): BackendEffect[] {
  const envelope = decodeEnvelope(datagram);
  if (envelope.isErr()) {
    return [];
  }
  if (formatAddress(envelope.value.service) !== formatAddress(state.options.serviceAddress)) {
    state.misrouted += 1;
    return [];
  }
  return hasLongHeader(envelope.value.packet)
    ? handleOpen(state, envelope.value, from, context)
    : handleEstablished(state, envelope.value, context);
}

function handleEstablished(
  state: BackendState,
  envelope: Envelope,
  context: StepContext,
): BackendEffect[] {
  const packet = parseShortHeader(envelope.packet, TOKEN_LENGTH_BYTES);
  if (packet.isErr()) {
    return [];
  }
  const message = decodeMessage(packet.value.body);
  if (message.isErr()) {
    return [];
  }
  const token = packet.value.destinationId;
  const flow = state.flows.get(tokenKeyOf(token));
  if (flow !== undefined) {
    flow.client = envelope.client;
    flow.lastReceivedAtMs = context.nowMs;
    return handleFlowMessage(state, flow, message.value, context);
  }
  return match(message.value)
    .with({ type: 'request' }, ({ requestId }) =>
      answerUnknownFlow(state, envelope.client, token, requestId),
    )
    .with({ type: P.union('acknowledge', 'cancel') }, () =>
      answerUnknownFlow(state, envelope.client, token, undefined),
    )
    .otherwise(() => []);
}

function handleFlowMessage(
  state: BackendState,
  flow: BackendFlow,
  message: Message,
  context: StepContext,
): BackendEffect[] {
  return match(message)
    .with({ type: 'request', feed: true }, (request) =>
      handleSubscribe(state, flow, request, context),
    )
    .with({ type: 'request' }, (request) => handleRequest(state, flow, request, context))
    .with({ type: 'acknowledge' }, ({ requestId, part }) =>
      handleAcknowledge(state, flow, requestId, part, context),
    )
    .with({ type: 'cancel' }, ({ requestId }) =>
      cancelFeed(state, flow, requestId) ? [] : cancelRequest(state, flow, requestId, context),
    )
    .with({ type: 'close' }, () => {
      closeFlow(state, flow, context);
      return [];
    })
    .otherwise(() => []);
}

function handleTick(state: BackendState, context: StepContext): BackendEffect[] {
  const { faults } = state.options;
  if (context.nowMs - state.startedAtMs >= (faults?.freezesLoadAfterMs ?? Infinity)) {
    state.frozenLoad ??= loadReport(state);
  }
  const effects = [...requestsTick(state, context), ...drainTick(state, context)];
  if (context.nowMs < state.nextSweepAtMs) {
    return effects;
  }
  state.nextSweepAtMs = context.nowMs + SWEEP_INTERVAL_MS;
  return [...effects, ...feedsTick(state, context), ...expireFlows(state, context)];
}
