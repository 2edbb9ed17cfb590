/**
 * @file The decision step of a stand-in back end: accepts flows, runs each request at most once,
 * sheds with a truthful "not run", and answers directly to the fabric.
 */
import { match } from 'ts-pattern';
import { formatAddress, type Address } from '../common/address.js';
import type { StepContext } from '../common/step.js';
import { decodeEnvelope, encodeEnvelope, type Envelope } from '../flow/envelope.js';
import type { ErrorKind } from '../flow/error-kinds.js';
import {
  encodeLongHeader,
  encodeShortHeader,
  hasLongHeader,
  parseLongHeader,
  parseShortHeader,
} from '../flow/header.js';
import {
  decodeMessage,
  encodeMessage,
  type Message,
  type RequestMessage,
} from '../flow/messages.js';
import { readToken, TOKEN_LENGTH_BYTES, type TokenFields } from '../flow/token.js';
import type { BackendFlow, BackendState, RequestRecord } from './backend-state.js';
import { answerParts, decodeWork } from './workload.js';

const RETRY_AFTER_MS = 200;

/** What can happen to a back end. */
export type BackendEvent =
  | { readonly type: 'datagram'; readonly datagram: Uint8Array; readonly from: Address }
  | { readonly type: 'tick' }
  /** The platform or a balancer asks it to drain. */
  | { readonly type: 'drain' };

/** Sends a datagram. */
export interface BackendEffect {
  readonly type: 'send';
  readonly to: Address;
  readonly datagram: Uint8Array;
}

/**
 * Takes one event.
 * @returns the effects, in order
 */
export function backendStep(
  state: BackendState,
  event: BackendEvent,
  context: StepContext,
): BackendEffect[] {
  return match(event)
    .with({ type: 'datagram' }, ({ datagram, from }) =>
      handleDatagram(state, datagram, from, context),
    )
    .with({ type: 'tick' }, () => handleTick(state, context))
    .with({ type: 'drain' }, () => startDrain(state))
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

function handleOpen(
  state: BackendState,
  envelope: Envelope,
  from: Address,
  context: StepContext,
): BackendEffect[] {
  const packet = parseLongHeader(envelope.packet);
  if (packet.isErr() || packet.value.destinationId.length !== TOKEN_LENGTH_BYTES) {
    return [];
  }
  const token = Uint8Array.from(packet.value.destinationId);
  const fields = readToken(token);
  const refusal = openRefusal(state, fields, context);
  if (refusal !== undefined) {
    return [openReply(envelope, from, token, fields, refuseOpen(state, refusal))];
  }
  const tokenKey = Buffer.from(token).toString('hex');
  if (!state.flows.has(tokenKey)) {
    state.flows.set(tokenKey, {
      tokenKey,
      flowId: fields.flowId,
      client: envelope.client,
      openedAtMs: context.nowMs,
      requests: new Map(),
    });
  }
  const accept: Message = { type: 'accept', incarnation: state.incarnation };
  return [openReply(envelope, from, token, fields, accept)];
}

function openRefusal(
  state: BackendState,
  fields: TokenFields,
  context: StepContext,
): ErrorKind | undefined {
  if (fields.incarnation !== state.incarnation) {
    return 'stale-incarnation';
  }
  if (state.draining) {
    return 'backend-draining';
  }
  if (context.nowMs - state.startedAtMs < state.options.warmUpMs) {
    return 'backend-refused';
  }
  return state.flows.size >= state.options.connectionLimit ? 'overloaded' : undefined;
}

function refuseOpen(state: BackendState, kind: ErrorKind): Message {
  const { incarnation } = state;
  return { type: 'refuse', kind, surelyNotRun: true, incarnation, retryAfterMs: RETRY_AFTER_MS };
}

function openReply(
  envelope: Envelope,
  from: Address,
  token: Uint8Array,
  fields: TokenFields,
  message: Message,
): BackendEffect {
  const packet = encodeLongHeader(fields.flowId, token, encodeMessage(message));
  const { client, service } = envelope;
  return { type: 'send', to: from, datagram: encodeEnvelope({ client, service, packet }) };
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
  const fields = readToken(packet.value.destinationId);
  const flow = state.flows.get(Buffer.from(packet.value.destinationId).toString('hex'));
  if (flow === undefined) {
    return closeUnknownFlow(state, envelope, fields);
  }
  flow.client = envelope.client;
  return match(message.value)
    .with({ type: 'request' }, (request) => handleRequest(state, flow, request, context))
    .with({ type: 'cancel' }, ({ requestId }) => cancelRequest(state, flow, requestId))
    .with({ type: 'close' }, () => {
      state.flows.delete(flow.tokenKey);
      return [];
    })
    .otherwise(() => []);
}

/**
 * A flow that is not known here may have run requests before: never "not run".
 */
function closeUnknownFlow(
  state: BackendState,
  envelope: Envelope,
  fields: TokenFields,
): BackendEffect[] {
  const stale = fields.incarnation !== state.incarnation;
  const kind: ErrorKind = stale ? 'stale-incarnation' : 'unknown-flow';
  return [sendToClient(state, envelope.client, fields.flowId, { type: 'close', kind })];
}

function handleRequest(
  state: BackendState,
  flow: BackendFlow,
  request: RequestMessage,
  context: StepContext,
): BackendEffect[] {
  const earlier = flow.requests.get(request.requestId);
  if (earlier !== undefined) {
    return earlier.answer.map((message) => sendOnFlow(state, flow, message));
  }
  const work = decodeWork(request.payload);
  if (work === undefined) {
    return [];
  }
  if (work.service !== state.options.serviceName) {
    state.misrouted += 1;
    return [];
  }
  const record: RequestRecord = {
    flow,
    requestId: request.requestId,
    work,
    deadlineAtMs: context.nowMs + request.deadlineMs,
    phase: 'queued',
    finishAtMs: 0,
    answer: [],
  };
  flow.requests.set(request.requestId, record);
  if (state.queue.length >= state.options.queueLimit) {
    return refuseRequest(state, record, 'overloaded');
  }
  state.queue.push(record);
  return startRequests(state, context);
}

function cancelRequest(state: BackendState, flow: BackendFlow, requestId: number): BackendEffect[] {
  const record = flow.requests.get(requestId);
  if (record?.phase !== 'queued') {
    return [];
  }
  state.queue.splice(state.queue.indexOf(record), 1);
  return refuseRequest(state, record, 'cancelled');
}

/** Only for a request that has not started: the refusal is kept, so that it never runs later. */
function refuseRequest(
  state: BackendState,
  record: RequestRecord,
  kind: ErrorKind,
): BackendEffect[] {
  record.phase = 'refused';
  const { requestId } = record;
  record.answer = [
    { type: 'refuse', requestId, kind, surelyNotRun: true, retryAfterMs: RETRY_AFTER_MS },
  ];
  return record.answer.map((message) => sendOnFlow(state, record.flow, message));
}

function handleTick(state: BackendState, context: StepContext): BackendEffect[] {
  const effects: BackendEffect[] = [];
  for (const record of state.running) {
    if (record.finishAtMs <= context.nowMs) {
      effects.push(...finishRequest(state, record));
    }
  }
  effects.push(...startRequests(state, context));
  expireHalfOpenFlows(state, context);
  return effects;
}

function startRequests(state: BackendState, context: StepContext): BackendEffect[] {
  const effects: BackendEffect[] = [];
  while (state.running.size < state.options.slots) {
    const record = state.queue.shift();
    if (record === undefined) {
      break;
    }
    if (record.deadlineAtMs <= context.nowMs) {
      effects.push(...refuseRequest(state, record, 'deadline-exceeded'));
    } else {
      startRequest(state, record, context);
    }
  }
  return effects;
}

function startRequest(state: BackendState, record: RequestRecord, context: StepContext): void {
  const uniform = 1 - context.random.nextFloat();
  record.phase = 'running';
  record.finishAtMs = context.nowMs - Math.log(uniform) * state.options.meanServiceTimeMs;
  state.runs.push(record.work.requestNumber);
  state.running.add(record);
}

function finishRequest(state: BackendState, record: RequestRecord): BackendEffect[] {
  state.running.delete(record);
  record.phase = 'done';
  const parts = answerParts(record.work);
  record.answer = parts.map((payload, part) => ({
    type: 'answer',
    requestId: record.requestId,
    part,
    parts: parts.length,
    payload,
  }));
  return record.answer.map((message) => sendOnFlow(state, record.flow, message));
}

function expireHalfOpenFlows(state: BackendState, context: StepContext): void {
  const openedBeforeMs = context.nowMs - state.options.halfOpenTimeoutMs;
  for (const flow of state.flows.values()) {
    if (flow.requests.size === 0 && flow.openedAtMs < openedBeforeMs) {
      state.flows.delete(flow.tokenKey);
    }
  }
}

function startDrain(state: BackendState): BackendEffect[] {
  if (state.draining) {
    return [];
  }
  state.draining = true;
  return [...state.flows.values()].map((flow) => sendOnFlow(state, flow, { type: 'go-away' }));
}

function sendOnFlow(state: BackendState, flow: BackendFlow, message: Message): BackendEffect {
  return sendToClient(state, flow.client, flow.flowId, message);
}

function sendToClient(
  state: BackendState,
  client: Address,
  flowId: Uint8Array,
  message: Message,
): BackendEffect {
  const packet = encodeShortHeader(flowId, encodeMessage(message));
  const { fabricAddress, serviceAddress } = state.options;
  const datagram = encodeEnvelope({ client, service: serviceAddress, packet });
  return { type: 'send', to: fabricAddress, datagram };
}
