/**
 * @file Sequential requests of a stand-in caller. A request moves to another flow only after a refusal
 * which guarantees that it did not run.
 */
import type { StepContext } from '../../shared/common/step.js';
import { answerFor, type ErrorKind } from '../../shared/common/error-kinds.js';
import type { AnswerMessage, RefuseMessage } from '../../managed/flow/messages.js';
import {
  closeFlow,
  hasStartedAllRequests,
  retireFlow,
  sendOnFlow,
  startRetransmitTimer,
  type CallerEffect,
  type CallerRequest,
  type CallerState,
  type OpenFlow,
} from './caller-state.js';
import { answerParts, encodeWork, type Work } from './workload.js';

/** Time to wait for a new flow before a request may use a retiring one. */
const NEW_FLOW_WAIT_MS = 500;
/** Time past the deadline to wait for a late reply, such as a refusal, to a request that was sent. */
const LATE_REPLY_GRACE_MS = 500;

/**
 * Starts the next request if it is due; sends, retransmits, cancels or expires the current one.
 */
export function requestTick(state: CallerState, context: StepContext): CallerEffect[] {
  startRequest(state, context);
  const { request } = state;
  if (request === undefined) {
    return [];
  }
  const graceMs = request.flow === undefined ? 0 : LATE_REPLY_GRACE_MS;
  if (context.nowMs >= request.deadlineAtMs + graceMs) {
    return expireRequest(state, request, context);
  }
  if (request.flow === undefined) {
    return transmitFirst(state, request, context);
  }
  const { cancelAfterMs = Infinity } = state.options;
  if (!request.cancelled && context.nowMs >= request.startedAtMs + cancelAfterMs) {
    request.cancelled = true;
    request.timer = startRetransmitTimer(state, context);
    return [transmit(state, request, request.flow, context)];
  }
  if (request.timer?.isDue(context.nowMs) !== true) {
    return [];
  }
  request.timer.backOff(context);
  return [transmit(state, request, request.flow, context)];
}

/**
 * Handles a part of an answer. Parts may be late, duplicated or reordered; parts for another request
 * or flow are ignored.
 */
export function handleAnswer(
  state: CallerState,
  flow: OpenFlow,
  answer: AnswerMessage,
  context: StepContext,
): CallerEffect[] {
  const request = findRequest(state, flow, answer.requestId);
  if (request === undefined || answer.part >= answer.parts) {
    return [];
  }
  request.parts.set(answer.part, Uint8Array.from(answer.payload));
  if (request.parts.size < answer.parts) {
    return [];
  }
  const receivedParts = Array.from({ length: answer.parts }, (_, part) => request.parts.get(part));
  const received = Buffer.concat(receivedParts.map((part) => part ?? new Uint8Array(0)));
  const expected = Buffer.concat(answerParts(workOf(state, request)));
  if (Buffer.compare(received, expected) !== 0) {
    state.wrongAnswers += 1;
  }
  endRequest(state, context.nowMs + state.options.pauseMs);
  const { requestNumber } = request;
  const latencyMs = context.nowMs - request.startedAtMs;
  return [{ type: 'outcome', outcome: { type: 'answered', requestNumber, latencyMs } }];
}

/**
 * Handles the refusal of a request. It is retried on another flow if it did not run and the kind of
 * error is retryable.
 */
export function handleRequestRefusal(
  state: CallerState,
  flow: OpenFlow,
  refusal: RefuseMessage,
  context: StepContext,
): CallerEffect[] {
  const request = findRequest(state, flow, refusal.requestId);
  if (request === undefined) {
    return [];
  }
  if (!refusal.surelyNotRun) {
    return [endWithUnknownOutcome(state, request, refusal.kind, context)];
  }
  request.flow = undefined;
  request.timer = undefined;
  request.parts.clear();
  flow.acceptsRequests = false;
  retireFlow(state, flow, context.nowMs + (refusal.retryAfterMs ?? 0));
  if (answerFor(refusal.kind).retryable) {
    return [];
  }
  endRequest(state, 0);
  const { requestNumber } = request;
  const { kind } = refusal;
  return [{ type: 'outcome', outcome: { type: 'not-run', requestNumber, kind } }];
}

/**
 * Ends the request without a retry, since it may have run.
 */
export function endWithUnknownOutcome(
  state: CallerState,
  request: CallerRequest,
  kind: ErrorKind,
  context: StepContext,
): CallerEffect {
  endRequest(state, context.nowMs);
  const { requestNumber } = request;
  return { type: 'outcome', outcome: { type: 'unknown', requestNumber, kind } };
}

/**
 * Clears the current request and schedules the next one.
 */
export function endRequest(state: CallerState, nextRequestAtMs: number): void {
  state.request = undefined;
  state.nextRequestAtMs = nextRequestAtMs;
}

function startRequest(state: CallerState, context: StepContext): void {
  const { options } = state;
  const isDone = hasStartedAllRequests(state, context.nowMs);
  if (state.request !== undefined || isDone || context.nowMs < state.nextRequestAtMs) {
    return;
  }
  state.request = {
    requestNumber: options.firstRequestNumber + state.requestsStarted,
    startedAtMs: context.nowMs,
    deadlineAtMs: context.nowMs + options.requestDeadlineMs,
    flow: undefined,
    requestId: 0,
    cancelled: false,
    timer: undefined,
    parts: new Map(),
  };
  state.requestsStarted += 1;
}

function transmitFirst(
  state: CallerState,
  request: CallerRequest,
  context: StepContext,
): CallerEffect[] {
  const flow = flowForRequest(state, request, context);
  if (flow === undefined) {
    return [];
  }
  request.flow = flow;
  request.requestId = state.nextRequestId;
  request.timer = startRetransmitTimer(state, context);
  state.nextRequestId += 1;
  return [transmit(state, request, flow, context)];
}

function flowForRequest(
  state: CallerState,
  request: CallerRequest,
  context: StepContext,
): OpenFlow | undefined {
  if (state.flow.phase === 'open') {
    return state.flow;
  }
  const awaitsNewFlow = context.nowMs < request.startedAtMs + NEW_FLOW_WAIT_MS;
  return awaitsNewFlow ? undefined : state.retiringFlows.find((flow) => flow.acceptsRequests);
}

function transmit(
  state: CallerState,
  request: CallerRequest,
  flow: OpenFlow,
  context: StepContext,
): CallerEffect {
  const { requestId } = request;
  if (request.cancelled) {
    return sendOnFlow(flow, { type: 'cancel', requestId });
  }
  return sendOnFlow(flow, {
    type: 'request',
    requestId,
    deadlineMs: Math.max(0, request.deadlineAtMs - context.nowMs),
    feed: false,
    payload: encodeWork(workOf(state, request)),
  });
}

function findRequest(
  state: CallerState,
  flow: OpenFlow,
  requestId: number | undefined,
): CallerRequest | undefined {
  const { request } = state;
  return request?.flow === flow && request.requestId === requestId ? request : undefined;
}

/** An expired request that was sent has an unknown outcome, and its flow counts as broken. */
function expireRequest(
  state: CallerState,
  request: CallerRequest,
  context: StepContext,
): CallerEffect[] {
  const { requestNumber, flow } = request;
  const kind = 'deadline-exceeded';
  if (flow === undefined) {
    endRequest(state, 0);
    return [{ type: 'outcome', outcome: { type: 'not-run', requestNumber, kind } }];
  }
  state.brokenFlows += 1;
  return [
    endWithUnknownOutcome(state, request, kind, context),
    closeFlow(state, flow, context.nowMs),
  ];
}

function workOf(state: CallerState, request: CallerRequest): Work {
  const { serviceName, answerBytes } = state.options;
  return { service: serviceName, requestNumber: request.requestNumber, answerBytes };
}
