/**
 * @file Feeds of a stand-in back end. Each feed reads the notice log with a window of unacknowledged
 * notices, retransmits them with backoff, and reports notices that the log no longer holds.
 */
import type { StepContext } from '../../shared/common/step.js';
import type { Message, RequestMessage } from '../../managed/flow/messages.js';
import { closeFlow } from './backend-flows.js';
import {
  addRecord,
  isOutsideWindow,
  recordRequestId,
  outcomeUnknownRefusal,
  refuseRequest,
  repeatAnswer,
} from './backend-requests.js';
import { sendOnFlow, type BackendEffect } from './backend-send.js';
import {
  refusesNewWork,
  type BackendFeed,
  type BackendFlow,
  type BackendState,
} from './backend-state.js';
import { RetransmitTimer } from './retransmit-timer.js';

/** Maximum number of notices that one retransmission sends. */
const RETRANSMIT_BURST = 8;

/**
 * Handles a subscription, or a copy of one, which callers also send as a keep-alive.
 */
export function handleSubscribe(
  state: BackendState,
  flow: BackendFlow,
  request: RequestMessage,
  context: StepContext,
): BackendEffect[] {
  const { requestId } = request;
  const existing = flow.feeds.get(requestId);
  if (existing !== undefined) {
    return [sendOnFlow(state, flow, subscribedMessage(existing))];
  }
  const endedRecord = flow.requests.get(requestId);
  if (endedRecord !== undefined) {
    return repeatAnswer(state, endedRecord, context);
  }
  if (isOutsideWindow(flow, requestId)) {
    return [sendOnFlow(state, flow, outcomeUnknownRefusal(requestId))];
  }
  if (refusesNewWork(state, context.nowMs)) {
    const record = addRecord(flow, requestId, undefined, 0);
    return refuseRequest(state, record, 'backend-draining', context);
  }
  recordRequestId(flow, requestId);
  const feed = createFeed(state, flow, request, context);
  flow.feeds.set(requestId, feed);
  flow.hasExecutedWork = true;
  state.feeds.add(feed);
  return [sendOnFlow(state, flow, subscribedMessage(feed)), ...sendNotices(state, feed, context)];
}

/**
 * Handles a cumulative acknowledgement.
 * @param number of the last notice that the caller received in order
 */
export function handleAcknowledge(
  state: BackendState,
  flow: BackendFlow,
  requestId: number,
  number: number,
  context: StepContext,
): BackendEffect[] {
  const feed = flow.feeds.get(requestId);
  if (feed === undefined || number <= feed.lastAcknowledged || number > feed.lastSent) {
    return [];
  }
  feed.lastAcknowledged = number;
  feed.lastProgressAtMs = context.nowMs;
  if (feed.lastSent > feed.lastAcknowledged) {
    feed.timer.restart(context);
  } else {
    feed.timer.stop();
  }
  return sendNotices(state, feed, context);
}

/**
 * Ends a feed. Its request stays recorded, so that a late copy does not start the feed again.
 * @returns false if the flow has no feed with this request ID
 */
export function cancelFeed(state: BackendState, flow: BackendFlow, requestId: number): boolean {
  const feed = flow.feeds.get(requestId);
  if (feed === undefined) {
    return false;
  }
  endFeed(state, feed);
  addRecord(flow, requestId, undefined, 0).phase = 'done';
  return true;
}

/**
 * Appends a notice to the log and sends it to all feeds.
 * @param number consecutive from 1, and the same at every back end of the service
 */
export function publishNotice(
  state: BackendState,
  number: number,
  payload: Uint8Array,
  context: StepContext,
): BackendEffect[] {
  state.notices.append(number, payload);
  return [...state.feeds].flatMap((feed) => sendNotices(state, feed, context));
}

/**
 * Retransmits unacknowledged notices, and closes the flows of feeds whose caller stopped acknowledging.
 */
export function feedsTick(state: BackendState, context: StepContext): BackendEffect[] {
  const effects: BackendEffect[] = [];
  for (const feed of state.feeds) {
    if (!feed.timer.isDue(context.nowMs)) {
      continue;
    }
    if (context.nowMs - feed.lastProgressAtMs > state.tuning.feedTimeoutMs) {
      closeFlow(state, feed.flow, context);
      effects.push(sendOnFlow(state, feed.flow, { type: 'close', kind: 'deadline-exceeded' }));
    } else {
      effects.push(...retransmitNotices(state, feed, context));
    }
  }
  return effects;
}

function createFeed(
  state: BackendState,
  flow: BackendFlow,
  request: RequestMessage,
  context: StepContext,
): BackendFeed {
  const { tuning } = state;
  const position = request.afterNotice ?? 0;
  return {
    flow,
    requestId: request.requestId,
    startsAtOldest: position === 0,
    lastAcknowledged: position,
    lastSent: position,
    lastProgressAtMs: context.nowMs,
    timer: new RetransmitTimer({
      initialDelayMs: tuning.noticeRetransmitMs,
      maxDelayMs: tuning.noticeRetransmitMaxMs,
    }),
  };
}

function subscribedMessage(feed: BackendFeed): Message {
  const { requestId, lastAcknowledged } = feed;
  return { type: 'subscribed', requestId, afterNotice: lastAcknowledged };
}

function sendNotices(
  state: BackendState,
  feed: BackendFeed,
  context: StepContext,
): BackendEffect[] {
  const effects = startAtOldest(state, feed);
  if (!state.notices.covers(feed.lastAcknowledged)) {
    return refuseGap(state, feed, context);
  }
  const end = Math.min(state.notices.lastNumber, feed.lastAcknowledged + state.tuning.noticeWindow);
  if (feed.lastSent < end && !feed.timer.isRunning) {
    feed.lastProgressAtMs = context.nowMs;
    feed.timer.restart(context);
  }
  for (; feed.lastSent < end; feed.lastSent += 1) {
    effects.push(...sendNotice(state, feed, feed.lastSent + 1));
  }
  return effects;
}

/** Positions a new feed at the oldest notice in the log and sends the position to the caller. */
function startAtOldest(state: BackendState, feed: BackendFeed): BackendEffect[] {
  const first = state.notices.firstNumber;
  if (!feed.startsAtOldest || first === undefined) {
    return [];
  }
  feed.startsAtOldest = false;
  feed.lastAcknowledged = first - 1;
  feed.lastSent = first - 1;
  return [sendOnFlow(state, feed.flow, subscribedMessage(feed))];
}

function retransmitNotices(
  state: BackendState,
  feed: BackendFeed,
  context: StepContext,
): BackendEffect[] {
  if (!state.notices.covers(feed.lastAcknowledged)) {
    return refuseGap(state, feed, context);
  }
  feed.timer.backOff(context);
  const effects = [sendOnFlow(state, feed.flow, subscribedMessage(feed))];
  const end = Math.min(feed.lastSent, feed.lastAcknowledged + RETRANSMIT_BURST);
  for (let number = feed.lastAcknowledged + 1; number <= end; number += 1) {
    effects.push(...sendNotice(state, feed, number));
  }
  return effects;
}

function sendNotice(state: BackendState, feed: BackendFeed, number: number): BackendEffect[] {
  const payload = state.notices.read(number);
  if (payload === undefined) {
    return [];
  }
  const { requestId } = feed;
  const notice: Message = { type: 'answer', requestId, part: number, parts: 0, payload };
  return [sendOnFlow(state, feed.flow, notice)];
}

function refuseGap(state: BackendState, feed: BackendFeed, context: StepContext): BackendEffect[] {
  endFeed(state, feed);
  const { flow, requestId } = feed;
  const record = addRecord(flow, requestId, undefined, 0);
  record.phase = 'refused';
  record.answerSentAtMs = context.nowMs;
  const refusal: Message = {
    type: 'refuse',
    requestId,
    kind: 'notices-gone',
    surelyNotRun: false,
    firstNotice: state.notices.firstNumber ?? 0,
  };
  record.answer = [refusal];
  return [sendOnFlow(state, flow, refusal)];
}

function endFeed(state: BackendState, feed: BackendFeed): void {
  feed.flow.feeds.delete(feed.requestId);
  feed.timer.stop();
  state.feeds.delete(feed);
}
