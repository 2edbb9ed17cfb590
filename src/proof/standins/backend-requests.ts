/**
 * @file Request execution of a stand-in back end: a bounded number of slots and a bounded queue. Each
 * (flow, request ID) runs at most once; a refusal is recorded, so that no later copy runs.
 */
import type { StepContext } from '../../shared/common/step.js';
import type { ErrorKind } from '../../shared/common/error-kinds.js';
import {
  REQUEST_ID_WINDOW,
  type Message,
  type RequestMessage,
} from '../../managed/flow/messages.js';
import { RETRY_AFTER_MS, sendOnFlow, type BackendEffect } from './backend-send.js';
import {
  updateBusySlotMs,
  refusesNewWork,
  type BackendFlow,
  type BackendState,
  type RequestRecord,
} from './backend-state.js';
import { answerParts, decodeWork, type Work } from './workload.js';

/** Minimum time between two transmissions of the same answer. */
const MIN_ANSWER_INTERVAL_MS = 50;

/**
 * Queues a new request; answers a copy of an earlier one from its record.
 */
export function handleRequest(
  state: BackendState,
  flow: BackendFlow,
  request: RequestMessage,
  context: StepContext,
): BackendEffect[] {
  flow.makesRequests = true;
  const existing = flow.requests.get(request.requestId);
  if (existing !== undefined) {
    const deadlineAtMs = context.nowMs + request.deadlineMs;
    existing.deadlineAtMs = Math.min(existing.deadlineAtMs, deadlineAtMs);
    return repeatAnswer(state, existing, context);
  }
  if (isOutsideWindow(flow, request.requestId)) {
    return [sendOnFlow(state, flow, outcomeUnknownRefusal(request.requestId))];
  }
  const work = decodeWork(request.payload);
  if (work === undefined) {
    return [];
  }
  if (work.service !== state.options.serviceName) {
    state.misrouted += 1;
    return [];
  }
  const record = addRecord(flow, request.requestId, work, context.nowMs + request.deadlineMs);
  const refusal = requestRefusalKind(state, request, context);
  if (refusal !== undefined) {
    return refuseRequest(state, record, refusal, context);
  }
  state.queue.push(record);
  return startRequests(state, context);
}

/**
 * Cancels a request that is queued or has not arrived yet. A running request finishes and is
 * answered.
 */
export function cancelRequest(
  state: BackendState,
  flow: BackendFlow,
  requestId: number,
  context: StepContext,
): BackendEffect[] {
  const record = flow.requests.get(requestId);
  if (record === undefined) {
    return isOutsideWindow(flow, requestId)
      ? [sendOnFlow(state, flow, outcomeUnknownRefusal(requestId))]
      : refuseRequest(state, addRecord(flow, requestId, undefined, 0), 'cancelled', context);
  }
  if (record.phase === 'queued') {
    state.queue.splice(state.queue.indexOf(record), 1);
    return refuseRequest(state, record, 'cancelled', context);
  }
  return repeatAnswer(state, record, context);
}

/**
 * Finishes completed requests, refuses queued ones past their deadline, and starts the next ones.
 */
export function requestsTick(state: BackendState, context: StepContext): BackendEffect[] {
  const effects: BackendEffect[] = [];
  for (const record of state.running) {
    if (record.finishAtMs <= context.nowMs) {
      effects.push(...finishRequest(state, record, context));
    }
  }
  const expired = state.queue.filter((record) => record.deadlineAtMs <= context.nowMs);
  for (const record of expired) {
    state.queue.splice(state.queue.indexOf(record), 1);
    effects.push(...refuseRequest(state, record, 'deadline-exceeded', context));
  }
  effects.push(...startRequests(state, context));
  return effects;
}

/**
 * @returns true if the ID is too old for a record of its outcome to be kept
 */
export function isOutsideWindow(flow: BackendFlow, requestId: number): boolean {
  return requestId <= (flow.highestRequestId ?? 0) - REQUEST_ID_WINDOW;
}

/**
 * @returns the refusal of a request without a record, which may have run
 */
export function outcomeUnknownRefusal(requestId: number): Message {
  return { type: 'refuse', requestId, kind: 'outcome-unknown', surelyNotRun: false };
}

/**
 * Advances the window of request IDs and deletes the records outside it.
 */
export function recordRequestId(flow: BackendFlow, requestId: number): void {
  flow.highestRequestId = Math.max(flow.highestRequestId ?? 0, requestId);
  for (const id of flow.requests.keys()) {
    if (isOutsideWindow(flow, id)) {
      flow.requests.delete(id);
    }
  }
}

/**
 * Marks a request as refused, so that it never runs, and sends the refusal.
 */
export function refuseRequest(
  state: BackendState,
  record: RequestRecord,
  kind: ErrorKind,
  context: StepContext,
): BackendEffect[] {
  record.phase = 'refused';
  const { requestId } = record;
  const retryAfterMs = kind === 'backend-draining' ? 0 : RETRY_AFTER_MS;
  record.answer = [{ type: 'refuse', requestId, kind, surelyNotRun: true, retryAfterMs }];
  return sendAnswer(state, record, context);
}

/**
 * Adds a record in phase `queued`.
 * @param work undefined for a feed, and for a request that is cancelled before it arrives
 */
export function addRecord(
  flow: BackendFlow,
  requestId: number,
  work: Work | undefined,
  deadlineAtMs: number,
): RequestRecord {
  const record: RequestRecord = {
    flow,
    requestId,
    work,
    deadlineAtMs,
    phase: 'queued',
    finishAtMs: 0,
    answer: [],
    answerSentAtMs: -Infinity,
  };
  flow.requests.set(requestId, record);
  recordRequestId(flow, requestId);
  return record;
}

/**
 * Resends the recorded answer, if any, at a limited rate.
 */
export function repeatAnswer(
  state: BackendState,
  record: RequestRecord,
  context: StepContext,
): BackendEffect[] {
  const isTooSoon = context.nowMs < record.answerSentAtMs + MIN_ANSWER_INTERVAL_MS;
  return isTooSoon ? [] : sendAnswer(state, record, context);
}

function requestRefusalKind(
  state: BackendState,
  request: RequestMessage,
  context: StepContext,
): ErrorKind | undefined {
  if (request.deadlineMs <= 0) {
    return 'deadline-exceeded';
  }
  if (refusesNewWork(state, context.nowMs)) {
    return 'backend-draining';
  }
  const isFull = state.queue.length >= state.options.queueLimit;
  return isFull || state.options.faults?.refusesAll === true ? 'overloaded' : undefined;
}

function startRequests(state: BackendState, context: StepContext): BackendEffect[] {
  const effects: BackendEffect[] = [];
  while (state.running.size < state.options.slots) {
    const record = state.queue.shift();
    if (record === undefined) {
      break;
    }
    if (record.deadlineAtMs <= context.nowMs) {
      effects.push(...refuseRequest(state, record, 'deadline-exceeded', context));
    } else {
      startRequest(state, record, context);
    }
  }
  return effects;
}

function startRequest(state: BackendState, record: RequestRecord, context: StepContext): void {
  if (record.work === undefined) {
    return;
  }
  const uniform = 1 - context.random.nextFloat();
  record.phase = 'running';
  record.flow.hasExecutedWork = true;
  updateBusySlotMs(state, context.nowMs);
  record.finishAtMs = context.nowMs - Math.log(uniform) * meanServiceTimeMs(state, context);
  state.executedRequests.push(record.work.requestNumber);
  state.running.add(record);
}

function meanServiceTimeMs(state: BackendState, context: StepContext): number {
  const { meanServiceTimeMs: mean, faults } = state.options;
  const isCold = context.nowMs - state.startedAtMs < (faults?.coldStartMs ?? 0);
  return isCold ? mean * (faults?.coldStartFactor ?? 1) : mean;
}

function finishRequest(
  state: BackendState,
  record: RequestRecord,
  context: StepContext,
): BackendEffect[] {
  updateBusySlotMs(state, context.nowMs);
  state.running.delete(record);
  record.phase = 'done';
  const parts = record.work === undefined ? [] : answerParts(record.work);
  record.answer = parts.map((payload, part) => ({
    type: 'answer',
    requestId: record.requestId,
    part,
    parts: parts.length,
    payload,
  }));
  return sendAnswer(state, record, context);
}

function sendAnswer(
  state: BackendState,
  record: RequestRecord,
  context: StepContext,
): BackendEffect[] {
  record.answerSentAtMs = context.nowMs;
  return record.answer.map((message) => sendOnFlow(state, record.flow, message));
}
