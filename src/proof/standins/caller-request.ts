/**
 * @file The requests of a stand-in caller, one after the other. A request stays on the flow that it
 * was sent on; it goes to another one only after a refusal that says that it did not run there.
 */
import type { StepContext } from '../../shared/common/step.js';
import { answerFor, type ErrorKind } from '../../shared/common/error-kinds.js';
import type { AnswerMessage, RefuseMessage } from '../../managed/flow/messages.js';
import {
  closeFlow,
  hasBegunAllRequests,
  leaveFlow,
  sendOnFlow,
  startRetransmitTimer,
  type CallerEffect,
  type CallerRequest,
  type CallerState,
  type OpenFlow,
} from './caller-state.js';
import { answerParts, encodeWork, type Work } from './workload.js';

/** A request that waits this long for a new flow goes to one that is being left, if it may. */
const MOVE_PATIENCE_MS = 500;
/** After its deadline a request that was sent waits this long for the word that it did not run. */
const LAST_WORD_MS = 500;

/**
 * Time has passed: begins the next request, sends the present one, or gives it up.
 */
export function requestTick(state: CallerState, context: StepContext): CallerEffect[] {
  beginRequest(state, context);
  const { request } = state;
  if (request === undefined) {
    return [];
  }
  const lastWordMs = request.flow === undefined ? 0 : LAST_WORD_MS;
  if (context.nowMs >= request.deadlineAtMs + lastWordMs) {
    return expireRequest(state, request, context);
  }
  if (request.flow === undefined) {
    return sendFirst(state, request, context);
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
 * Takes a part of an answer. Parts may come late, twice or in any order; a part for another request
 * or another flow belongs to none.
 */
export function handleAnswer(
  state: CallerState,
  flow: OpenFlow,
  answer: AnswerMessage,
  context: StepContext,
): CallerEffect[] {
  const request = requestOn(state, flow, answer.requestId);
  if (request === undefined || answer.part >= answer.parts) {
    return [];
  }
  request.parts.set(answer.part, Uint8Array.from(answer.payload));
  if (request.parts.size < answer.parts) {
    return [];
  }
  const received = Array.from({ length: answer.parts }, (_, part) => request.parts.get(part));
  const whole = Buffer.concat(received.map((part) => part ?? new Uint8Array(0)));
  const expected = Buffer.concat(answerParts(workOf(state, request)));
  if (Buffer.compare(whole, expected) !== 0) {
    state.wrongAnswers += 1;
  }
  endRequest(state, context.nowMs + state.options.pauseMs);
  const { requestNumber } = request;
  const latencyMs = context.nowMs - request.startedAtMs;
  return [{ type: 'outcome', outcome: { type: 'answered', requestNumber, latencyMs } }];
}

/**
 * Handles the refusal of a request. One that is certain not to have run may go to another flow; it is the same
 * request.
 */
export function handleRequestRefusal(
  state: CallerState,
  flow: OpenFlow,
  refusal: RefuseMessage,
  context: StepContext,
): CallerEffect[] {
  const request = requestOn(state, flow, refusal.requestId);
  if (request === undefined) {
    return [];
  }
  if (!refusal.surelyNotRun) {
    return [endUnknown(state, request, refusal.kind, context)];
  }
  request.flow = undefined;
  request.timer = undefined;
  request.parts.clear();
  flow.takesRequests = false;
  leaveFlow(state, flow, context.nowMs + (refusal.retryAfterMs ?? 0));
  if (answerFor(refusal.kind).retryable) {
    return [];
  }
  endRequest(state, 0);
  const { requestNumber } = request;
  const { kind } = refusal;
  return [{ type: 'outcome', outcome: { type: 'not-run', requestNumber, kind } }];
}

/**
 * The request may have run, and is never repeated.
 */
export function endUnknown(
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
 * The session is done with its present request.
 */
export function endRequest(state: CallerState, nextRequestAtMs: number): void {
  state.request = undefined;
  state.nextRequestAtMs = nextRequestAtMs;
}

function beginRequest(state: CallerState, context: StepContext): void {
  const { options } = state;
  const isDone = hasBegunAllRequests(state, context.nowMs);
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

function sendFirst(
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
  const isPatient = context.nowMs < request.startedAtMs + MOVE_PATIENCE_MS;
  return isPatient ? undefined : state.oldFlows.find((flow) => flow.takesRequests);
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

function requestOn(
  state: CallerState,
  flow: OpenFlow,
  requestId: number | undefined,
): CallerRequest | undefined {
  const { request } = state;
  return request?.flow === flow && request.requestId === requestId ? request : undefined;
}

/** Once it was sent, nobody said what became of it: the flow counts as broken. */
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
  return [endUnknown(state, request, kind, context), closeFlow(state, flow, context.nowMs)];
}

function workOf(state: CallerState, request: CallerRequest): Work {
  const { serviceName, answerBytes } = state.options;
  return { service: serviceName, requestNumber: request.requestNumber, answerBytes };
}
