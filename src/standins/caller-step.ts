/**
 * @file The decision step of a stand-in caller. It retransmits until a deadline, checks that the
 * whole answer is there, repeats a request only when it surely did not run, and reports each
 * request's outcome.
 */
import { match } from 'ts-pattern';
import type { StepContext } from '../common/step.js';
import type { ErrorKind } from '../flow/error-kinds.js';
import { answerFor } from '../flow/error-kinds.js';
import {
  encodeLongHeader,
  encodeShortHeader,
  FLOW_ID_LENGTH_BYTES,
  hasLongHeader,
  parseLongHeader,
  parseShortHeader,
} from '../flow/header.js';
import {
  decodeMessage,
  encodeMessage,
  type AnswerMessage,
  type Message,
  type RefuseMessage,
} from '../flow/messages.js';
import { TOKEN_LENGTH_BYTES } from '../flow/token.js';
import type { CallerRequest, CallerState, RequestOutcome } from './caller-state.js';
import { answerParts, encodeWork, type Work } from './workload.js';

const BYTE_VALUES = 256;
const EMPTY_ID = new Uint8Array(0);

/** What can happen to a caller. */
export type CallerEvent =
  { readonly type: 'packet'; readonly packet: Uint8Array } | { readonly type: 'tick' };

/** What a caller does: sends a packet to its service, or reports an outcome. */
export type CallerEffect =
  | { readonly type: 'send'; readonly packet: Uint8Array }
  | { readonly type: 'outcome'; readonly outcome: RequestOutcome };

/**
 * Takes one event.
 * @returns the effects, in order
 */
export function callerStep(
  state: CallerState,
  event: CallerEvent,
  context: StepContext,
): CallerEffect[] {
  return match(event)
    .with({ type: 'packet' }, ({ packet }) =>
      hasLongHeader(packet)
        ? handleOpenReply(state, packet, context)
        : handleFlowPacket(state, packet, context),
    )
    .with({ type: 'tick' }, () => handleTick(state, context))
    .exhaustive();
}

function handleTick(state: CallerState, context: StepContext): CallerEffect[] {
  const { nowMs } = context;
  if (state.finished || !ensureRequest(state, context)) {
    return state.finished ? [] : finishIfDone(state);
  }
  const { request, flow } = state;
  if (request === undefined) {
    return [];
  }
  if (nowMs >= request.deadlineAtMs) {
    return expireRequest(state, request);
  }
  if (flow.phase === 'none') {
    return nowMs >= flow.openAfterMs ? startOpen(state, context) : [];
  }
  if (flow.phase === 'opening' && nowMs >= flow.deadlineAtMs) {
    state.flow = { phase: 'none', openAfterMs: nowMs };
    return [];
  }
  if (flow.phase === 'open' && flow.leaving && !request.sent) {
    return [sendOnFlow(flow.token, { type: 'close' }), ...startOpen(state, context)];
  }
  return nowMs >= state.retransmitAtMs ? transmit(state, context) : [];
}

/** Begins the next request where it is time. */
function ensureRequest(state: CallerState, context: StepContext): boolean {
  const { options } = state;
  if (state.request !== undefined) {
    return true;
  }
  if (state.requestsStarted >= options.requestCount) {
    return false;
  }
  if (context.nowMs < state.nextRequestAtMs) {
    return true;
  }
  state.request = {
    requestNumber: options.firstRequestNumber + state.requestsStarted,
    startedAtMs: context.nowMs,
    deadlineAtMs: context.nowMs + options.requestDeadlineMs,
    sent: false,
    parts: [],
  };
  state.requestsStarted += 1;
  state.retransmitAtMs = context.nowMs;
  return true;
}

function finishIfDone(state: CallerState): CallerEffect[] {
  state.finished = true;
  return state.flow.phase === 'open' ? [sendOnFlow(state.flow.token, { type: 'close' })] : [];
}

function startOpen(state: CallerState, context: StepContext): CallerEffect[] {
  const flowId = Uint8Array.from({ length: FLOW_ID_LENGTH_BYTES }, () =>
    context.random.nextInt(BYTE_VALUES),
  );
  const deadlineAtMs = context.nowMs + state.options.openDeadlineMs;
  state.flow = { phase: 'opening', flowId, deadlineAtMs };
  return transmit(state, context);
}

/** Sends what waits for an answer: the open, or the request. */
function transmit(state: CallerState, context: StepContext): CallerEffect[] {
  const { flow, request, options } = state;
  state.retransmitAtMs = context.nowMs + options.retransmitMs;
  if (flow.phase === 'opening') {
    const deadlineMs = Math.max(0, flow.deadlineAtMs - context.nowMs);
    const body = encodeMessage({ type: 'open', deadlineMs });
    return [{ type: 'send', packet: encodeLongHeader(EMPTY_ID, flow.flowId, body) }];
  }
  if (flow.phase !== 'open' || request === undefined) {
    return [];
  }
  request.sent = true;
  const message: Message = {
    type: 'request',
    requestId: request.requestNumber,
    deadlineMs: request.deadlineAtMs - context.nowMs,
    feed: false,
    payload: encodeWork(workOf(state, request)),
  };
  return [sendOnFlow(flow.token, message)];
}

function handleOpenReply(
  state: CallerState,
  packet: Uint8Array,
  context: StepContext,
): CallerEffect[] {
  const { flow } = state;
  const header = parseLongHeader(packet);
  if (flow.phase !== 'opening' || header.isErr()) {
    return [];
  }
  const { destinationId, sourceId, body } = header.value;
  const message = decodeMessage(body);
  if (message.isErr() || Buffer.compare(destinationId, flow.flowId) !== 0) {
    return [];
  }
  if (message.value.type === 'accept' && sourceId.length === TOKEN_LENGTH_BYTES) {
    const token = Uint8Array.from(sourceId);
    state.flow = { phase: 'open', flowId: flow.flowId, token, leaving: false };
    return transmit(state, context);
  }
  if (message.value.type === 'refuse') {
    const openAfterMs = context.nowMs + (message.value.retryAfterMs ?? 0);
    state.flow = { phase: 'none', openAfterMs };
    return refusedForGood(state, message.value);
  }
  return [];
}

function handleFlowPacket(
  state: CallerState,
  packet: Uint8Array,
  context: StepContext,
): CallerEffect[] {
  const { flow } = state;
  const header = parseShortHeader(packet, FLOW_ID_LENGTH_BYTES);
  if (flow.phase !== 'open' || header.isErr()) {
    return [];
  }
  if (Buffer.compare(header.value.destinationId, flow.flowId) !== 0) {
    return [];
  }
  const message = decodeMessage(header.value.body);
  if (message.isErr()) {
    return [];
  }
  return match(message.value)
    .with({ type: 'answer' }, (answer) => handleAnswer(state, answer, context))
    .with({ type: 'refuse' }, (refusal) => handleRequestRefusal(state, refusal, context))
    .with({ type: 'go-away' }, () => {
      flow.leaving = true;
      return [];
    })
    .with({ type: 'close' }, ({ kind }) => handleClose(state, kind ?? 'outcome-unknown', context))
    .otherwise(() => []);
}

function handleAnswer(
  state: CallerState,
  answer: AnswerMessage,
  context: StepContext,
): CallerEffect[] {
  const request = requestWithId(state, answer.requestId);
  if (request === undefined) {
    return [];
  }
  request.parts[answer.part] = Uint8Array.from(answer.payload);
  const received = request.parts.filter((part) => part !== undefined);
  if (received.length < answer.parts) {
    return [];
  }
  const expected = Buffer.concat(answerParts(workOf(state, request)));
  if (Buffer.compare(Buffer.concat(received), expected) !== 0) {
    state.wrongAnswers += 1;
  }
  endRequest(state, context.nowMs + state.options.pauseMs);
  const { requestNumber } = request;
  const latencyMs = context.nowMs - request.startedAtMs;
  return [{ type: 'outcome', outcome: { type: 'answered', requestNumber, latencyMs } }];
}

/** A request that surely did not run may go to another flow; it is the same request. */
function handleRequestRefusal(
  state: CallerState,
  refusal: RefuseMessage,
  context: StepContext,
): CallerEffect[] {
  const { flow } = state;
  const request = requestWithId(state, refusal.requestId);
  if (request === undefined || flow.phase !== 'open') {
    return [];
  }
  if (!refusal.surelyNotRun) {
    return [endUnknown(state, request, refusal.kind)];
  }
  request.sent = false;
  state.flow = { phase: 'none', openAfterMs: context.nowMs + (refusal.retryAfterMs ?? 0) };
  return [sendOnFlow(flow.token, { type: 'close' }), ...refusedForGood(state, refusal)];
}

/** The present request where it has this ID; a late or crossed answer belongs to none. */
function requestWithId(
  state: CallerState,
  requestId: number | undefined,
): CallerRequest | undefined {
  return state.request?.requestNumber === requestId ? state.request : undefined;
}

function refusedForGood(state: CallerState, refusal: RefuseMessage): CallerEffect[] {
  const { request } = state;
  if (request === undefined || answerFor(refusal.kind).retryable) {
    return [];
  }
  endRequest(state, 0);
  const { requestNumber } = request;
  const { kind } = refusal;
  return [{ type: 'outcome', outcome: { type: 'not-run', requestNumber, kind } }];
}

function handleClose(state: CallerState, kind: ErrorKind, context: StepContext): CallerEffect[] {
  const { request } = state;
  state.brokenFlows += 1;
  state.flow = { phase: 'none', openAfterMs: context.nowMs };
  return request?.sent === true ? [endUnknown(state, request, kind)] : [];
}

function expireRequest(state: CallerState, request: CallerRequest): CallerEffect[] {
  const { requestNumber } = request;
  if (!request.sent) {
    endRequest(state, 0);
    const kind = 'deadline-exceeded';
    return [{ type: 'outcome', outcome: { type: 'not-run', requestNumber, kind } }];
  }
  state.brokenFlows += 1;
  state.flow = { phase: 'none', openAfterMs: 0 };
  return [endUnknown(state, request, 'deadline-exceeded')];
}

function endUnknown(state: CallerState, request: CallerRequest, kind: ErrorKind): CallerEffect {
  endRequest(state, 0);
  const { requestNumber } = request;
  return { type: 'outcome', outcome: { type: 'unknown', requestNumber, kind } };
}

function endRequest(state: CallerState, nextRequestAtMs: number): void {
  state.request = undefined;
  state.nextRequestAtMs = nextRequestAtMs;
}

function workOf(state: CallerState, request: CallerRequest): Work {
  const { serviceName, answerBytes } = state.options;
  return { service: serviceName, requestNumber: request.requestNumber, answerBytes };
}

function sendOnFlow(token: Uint8Array, message: Message): CallerEffect {
  return { type: 'send', packet: encodeShortHeader(token, encodeMessage(message)) };
}
