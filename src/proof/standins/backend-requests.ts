/**
 * @file Requests at a stand-in back end: each (flow, request ID) runs at most once, in a bounded
 * number of slots, behind a bounded queue. "Not run" is said only of a request that has not started,
 * and is kept, so that no later copy runs.
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
  recordBusySlots,
  refusesWork,
  type BackendFlow,
  type BackendState,
  type RequestRecord,
} from './backend-state.js';
import { answerParts, decodeWork, type Work } from './workload.js';

/** Copies of a request that come closer together than this get the whole answer only once. */
const MIN_ANSWER_INTERVAL_MS = 50;

/**
 * Takes a request, or a copy of one.
 */
export function handleRequest(
  state: BackendState,
  flow: BackendFlow,
  request: RequestMessage,
  context: StepContext,
): BackendEffect[] {
  flow.makesRequests = true;
  const earlier = flow.requests.get(request.requestId);
  if (earlier !== undefined) {
    const deadlineAtMs = context.nowMs + request.deadlineMs;
    earlier.deadlineAtMs = Math.min(earlier.deadlineAtMs, deadlineAtMs);
    return repeatAnswer(state, earlier, context);
  }
  if (isForgotten(flow, request.requestId)) {
    return [sendOnFlow(state, flow, refuseForgotten(request.requestId))];
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
  const refusal = requestRefusal(state, request, context);
  if (refusal !== undefined) {
    return refuseRequest(state, record, refusal, context);
  }
  state.queue.push(record);
  return startRequests(state, context);
}

/**
 * Takes a cancel. A request that waits, or that comes only later, never runs; one that runs goes on
 * to its end and is answered.
 */
export function cancelRequest(
  state: BackendState,
  flow: BackendFlow,
  requestId: number,
  context: StepContext,
): BackendEffect[] {
  const record = flow.requests.get(requestId);
  if (record === undefined) {
    return isForgotten(flow, requestId)
      ? [sendOnFlow(state, flow, refuseForgotten(requestId))]
      : refuseRequest(state, addRecord(flow, requestId, undefined, 0), 'cancelled', context);
  }
  if (record.phase === 'queued') {
    state.queue.splice(state.queue.indexOf(record), 1);
    return refuseRequest(state, record, 'cancelled', context);
  }
  return repeatAnswer(state, record, context);
}

/**
 * Time has passed: ends what is finished, refuses what waited past its deadline, starts the next.
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
 * @returns true where the ID is too old for the back end to know what became of it
 */
export function isForgotten(flow: BackendFlow, requestId: number): boolean {
  return requestId <= (flow.highestRequestId ?? 0) - REQUEST_ID_WINDOW;
}

/**
 * @returns the answer about a request that was forgotten: it may have run
 */
export function refuseForgotten(requestId: number): Message {
  return { type: 'refuse', requestId, kind: 'outcome-unknown', surelyNotRun: false };
}

/**
 * Notes that an ID was used, and forgets the records that no copy may ask for any more.
 */
export function recordRequestId(flow: BackendFlow, requestId: number): void {
  flow.highestRequestId = Math.max(flow.highestRequestId ?? 0, requestId);
  for (const id of flow.requests.keys()) {
    if (isForgotten(flow, id)) {
      flow.requests.delete(id);
    }
  }
}

/**
 * Records that a request never runs, and answers its caller.
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
 * Adds the record of a request that came for the first time.
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
 * Answers a copy with what was answered before; nothing while the request waits or runs.
 */
export function repeatAnswer(
  state: BackendState,
  record: RequestRecord,
  context: StepContext,
): BackendEffect[] {
  const isTooSoon = context.nowMs < record.answerSentAtMs + MIN_ANSWER_INTERVAL_MS;
  return isTooSoon ? [] : sendAnswer(state, record, context);
}

function requestRefusal(
  state: BackendState,
  request: RequestMessage,
  context: StepContext,
): ErrorKind | undefined {
  if (request.deadlineMs <= 0) {
    return 'deadline-exceeded';
  }
  if (refusesWork(state, context.nowMs)) {
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
  record.flow.hasRun = true;
  recordBusySlots(state, context.nowMs);
  record.finishAtMs = context.nowMs - Math.log(uniform) * meanServiceTimeMs(state, context);
  state.runs.push(record.work.requestNumber);
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
  recordBusySlots(state, context.nowMs);
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
