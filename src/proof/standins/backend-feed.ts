/**
 * @file Feeds at a stand-in back end: each is a reader of the notice log with a window of notices
 * that wait for an acknowledgement. Notices are sent again with backoff until they are acknowledged;
 * a gap that the log no longer covers is reported to the caller, never skipped.
 */
import type { StepContext } from '../../shared/common/step.js';
import type { Message, RequestMessage } from '../../managed/flow/messages.js';
import { closeFlow } from './backend-flows.js';
import {
  addRecord,
  isForgotten,
  recordRequestId,
  refuseForgotten,
  refuseRequest,
  repeatAnswer,
} from './backend-requests.js';
import { sendOnFlow, type BackendEffect } from './backend-send.js';
import {
  refusesWork,
  type BackendFeed,
  type BackendFlow,
  type BackendState,
} from './backend-state.js';
import { RetransmitTimer } from './retransmit-timer.js';

/** Copies of notices that are sent at one time. */
const RETRANSMIT_BURST = 8;

/**
 * Takes a request for a feed, or a copy of one, which asks whether the feed still stands.
 */
export function handleSubscribe(
  state: BackendState,
  flow: BackendFlow,
  request: RequestMessage,
  context: StepContext,
): BackendEffect[] {
  const { requestId } = request;
  const standing = flow.feeds.get(requestId);
  if (standing !== undefined) {
    return [sendOnFlow(state, flow, subscribed(standing))];
  }
  const ended = flow.requests.get(requestId);
  if (ended !== undefined) {
    return repeatAnswer(state, ended, context);
  }
  if (isForgotten(flow, requestId)) {
    return [sendOnFlow(state, flow, refuseForgotten(requestId))];
  }
  if (refusesWork(state, context.nowMs)) {
    const record = addRecord(flow, requestId, undefined, 0);
    return refuseRequest(state, record, 'backend-draining', context);
  }
  recordRequestId(flow, requestId);
  const feed = createFeed(state, flow, request, context);
  flow.feeds.set(requestId, feed);
  flow.hasRun = true;
  state.feeds.add(feed);
  return [sendOnFlow(state, flow, subscribed(feed)), ...sendNotices(state, feed, context)];
}

/**
 * Takes an acknowledgement: all notices up to this number have arrived.
 */
export function handleAcknowledge(
  state: BackendState,
  flow: BackendFlow,
  requestId: number,
  number: number,
  context: StepContext,
): BackendEffect[] {
  const feed = flow.feeds.get(requestId);
  if (feed === undefined || number <= feed.acknowledged || number > feed.sent) {
    return [];
  }
  feed.acknowledged = number;
  feed.progressAtMs = context.nowMs;
  if (feed.sent > feed.acknowledged) {
    feed.timer.restart(context);
  } else {
    feed.timer.stop();
  }
  return sendNotices(state, feed, context);
}

/**
 * Ends a feed that its caller no longer wants; a late copy of its request does not bring it back.
 * @returns true where there was such a feed
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
 * Takes a notice from the publisher and sends it to all feeds.
 * @param number from 1 on, the same at every back end of the service
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
 * Time has passed: sends unacknowledged notices again, and closes feeds that acknowledge nothing.
 */
export function feedsTick(state: BackendState, context: StepContext): BackendEffect[] {
  const effects: BackendEffect[] = [];
  for (const feed of state.feeds) {
    if (!feed.timer.isDue(context.nowMs)) {
      continue;
    }
    if (context.nowMs - feed.progressAtMs > state.tuning.feedTimeoutMs) {
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
    beginsAtOldest: position === 0,
    acknowledged: position,
    sent: position,
    progressAtMs: context.nowMs,
    timer: new RetransmitTimer({
      initialDelayMs: tuning.noticeRetransmitMs,
      maxDelayMs: tuning.noticeRetransmitMaxMs,
    }),
  };
}

function subscribed(feed: BackendFeed): Message {
  const { requestId, acknowledged } = feed;
  return { type: 'subscribed', requestId, afterNotice: acknowledged };
}

function sendNotices(
  state: BackendState,
  feed: BackendFeed,
  context: StepContext,
): BackendEffect[] {
  const effects = beginAtOldest(state, feed);
  if (!state.notices.covers(feed.acknowledged)) {
    return refuseGap(state, feed, context);
  }
  const end = Math.min(state.notices.lastNumber, feed.acknowledged + state.tuning.noticeWindow);
  if (feed.sent < end && !feed.timer.isRunning) {
    feed.progressAtMs = context.nowMs;
    feed.timer.restart(context);
  }
  for (; feed.sent < end; feed.sent += 1) {
    effects.push(...sendNotice(state, feed, feed.sent + 1));
  }
  return effects;
}

/** A caller without any notice begins at the oldest that the log holds; the answer has its number. */
function beginAtOldest(state: BackendState, feed: BackendFeed): BackendEffect[] {
  const first = state.notices.firstNumber;
  if (!feed.beginsAtOldest || first === undefined) {
    return [];
  }
  feed.beginsAtOldest = false;
  feed.acknowledged = first - 1;
  feed.sent = first - 1;
  return [sendOnFlow(state, feed.flow, subscribed(feed))];
}

function retransmitNotices(
  state: BackendState,
  feed: BackendFeed,
  context: StepContext,
): BackendEffect[] {
  if (!state.notices.covers(feed.acknowledged)) {
    return refuseGap(state, feed, context);
  }
  feed.timer.backOff(context);
  const effects = [sendOnFlow(state, feed.flow, subscribed(feed))];
  const end = Math.min(feed.sent, feed.acknowledged + RETRANSMIT_BURST);
  for (let number = feed.acknowledged + 1; number <= end; number += 1) {
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
