/**
 * @file The feed of a stand-in caller. Notices are delivered in order and once, by their number,
 * whichever flow they come on. A move subscribes on the new flow first, after the last notice that
 * the caller has; only once that is confirmed does the old subscription end.
 */
import type { StepContext } from '../../shared/common/step.js';
import type {
  AnswerMessage,
  RefuseMessage,
  SubscribedMessage,
} from '../../managed/flow/messages.js';
import {
  closeFlow,
  leaveFlow,
  sendOnFlow,
  startRetransmitTimer,
  type CallerEffect,
  type CallerFeed,
  type CallerState,
  type FeedSubscription,
  type OpenFlow,
} from './caller-state.js';

/** Notices that are kept while one that precedes them is missing. */
const MAX_EARLY_NOTICES = 64;
/** A feed on which nothing came for this time is asked whether it still stands. */
const KEEP_ALIVE_MS = 5_000;
/** A subscription that stays unanswered for this time is lost. */
const SILENCE_LIMIT_MS = 5_000;
/** Back ends that are asked for a notice before it counts as missed. */
const MAX_GAP_REFUSALS = 3;
/** Time until another back end is asked for a notice that one no longer holds. */
const GAP_RETRY_MS = 200;
const EMPTY_PAYLOAD = new Uint8Array(0);

/**
 * Time has passed: subscribes where the feed has no flow or should move, asks again, and gives up
 * subscriptions that stay silent.
 */
export function feedTick(state: CallerState, context: StepContext): CallerEffect[] {
  const { feed } = state;
  if (feed === undefined) {
    return [];
  }
  if (feed.delivered >= feed.lastNotice || context.nowMs >= feed.deadlineAtMs) {
    return endFeed(state, feed);
  }
  const effects: CallerEffect[] = [];
  for (const subscription of [feed.current, feed.next]) {
    if (subscription !== undefined) {
      effects.push(...subscriptionTick(state, feed, subscription, context));
    }
  }
  return [...effects, ...subscribeOnNewFlow(state, feed, context)];
}

/**
 * Takes the confirmation of a subscription.
 */
export function handleSubscribed(
  state: CallerState,
  flow: OpenFlow,
  message: SubscribedMessage,
  context: StepContext,
): CallerEffect[] {
  const { feed } = state;
  const subscription = subscriptionOn(feed, flow, message.requestId);
  if (feed === undefined || subscription === undefined) {
    return [];
  }
  if (skipsNoticesOfCurrent(feed, subscription, message.afterNotice)) {
    feed.next = undefined;
    leaveFlow(state, flow, context.nowMs + GAP_RETRY_MS);
    return [];
  }
  recordMessage(subscription, context);
  feed.gapRefusals = 0;
  const effects = applyPosition(feed, message.afterNotice);
  if (feed.next === subscription) {
    effects.push(...endSubscription(feed.current));
    feed.current = subscription;
    feed.next = undefined;
  }
  effects.push(...deliverEarly(feed));
  return effects;
}

/**
 * Takes a notice, from whichever subscription it comes.
 */
export function handleNotice(
  state: CallerState,
  flow: OpenFlow,
  notice: AnswerMessage,
  context: StepContext,
): CallerEffect[] {
  const { feed } = state;
  const subscription = subscriptionOn(feed, flow, notice.requestId);
  if (feed === undefined || subscription === undefined) {
    return [];
  }
  subscription.heardAtMs = context.nowMs;
  const isNew = notice.part > feed.delivered;
  if (isNew && feed.early.size < MAX_EARLY_NOTICES) {
    feed.early.set(notice.part, Uint8Array.from(notice.payload));
  }
  const effects = feed.positionKnown ? deliverEarly(feed) : [];
  const { requestId } = subscription;
  effects.push(sendOnFlow(flow, { type: 'acknowledge', requestId, part: feed.delivered }));
  return effects;
}

/**
 * Takes the refusal of a subscription. Where the back end no longer holds the next notice, others
 * are asked before the notices count as missed.
 * @returns undefined where the refusal is about no subscription
 */
export function handleFeedRefusal(
  state: CallerState,
  flow: OpenFlow,
  refusal: RefuseMessage,
  context: StepContext,
): CallerEffect[] | undefined {
  const { feed } = state;
  const subscription = subscriptionOn(feed, flow, refusal.requestId ?? -1);
  if (feed === undefined || subscription === undefined) {
    return undefined;
  }
  forgetSubscription(feed, subscription);
  const isGap = refusal.kind === 'notices-gone';
  const retryAfterMs = refusal.retryAfterMs ?? (isGap ? GAP_RETRY_MS : 0);
  leaveFlow(state, flow, context.nowMs + retryAfterMs);
  if (!isGap || feed.current !== undefined) {
    return [];
  }
  feed.gapRefusals += 1;
  if (feed.gapRefusals < MAX_GAP_REFUSALS) {
    return [];
  }
  feed.gapRefusals = 0;
  return applyPosition(feed, (refusal.firstNotice ?? 1) - 1);
}

/** The old back end still holds what the new one no longer does: the move waits until it is had. */
function skipsNoticesOfCurrent(
  feed: CallerFeed,
  subscription: FeedSubscription,
  afterNotice: number,
): boolean {
  const moves = feed.next === subscription && feed.current !== undefined;
  return moves && feed.positionKnown && afterNotice > feed.delivered;
}

function endFeed(state: CallerState, feed: CallerFeed): CallerEffect[] {
  state.feed = undefined;
  return [...endSubscription(feed.current), ...endSubscription(feed.next)];
}

function endSubscription(subscription: FeedSubscription | undefined): CallerEffect[] {
  if (subscription === undefined) {
    return [];
  }
  const { flow, requestId } = subscription;
  return [sendOnFlow(flow, { type: 'cancel', requestId })];
}

function forgetSubscription(feed: CallerFeed, subscription: FeedSubscription): void {
  if (feed.current === subscription) {
    feed.current = undefined;
  } else {
    feed.next = undefined;
  }
}

function subscribeOnNewFlow(
  state: CallerState,
  feed: CallerFeed,
  context: StepContext,
): CallerEffect[] {
  const { flow } = state;
  if (flow.phase !== 'open' || feed.next !== undefined || feed.current?.flow === flow) {
    return [];
  }
  const subscription: FeedSubscription = {
    flow,
    requestId: state.nextRequestId,
    confirmed: false,
    askedAtMs: context.nowMs,
    heardAtMs: context.nowMs,
    timer: startRetransmitTimer(state, context),
  };
  state.nextRequestId += 1;
  feed.next = subscription;
  return [sendSubscribe(feed, subscription, context)];
}

function subscriptionTick(
  state: CallerState,
  feed: CallerFeed,
  subscription: FeedSubscription,
  context: StepContext,
): CallerEffect[] {
  const { nowMs } = context;
  const { timer } = subscription;
  if (!timer.isRunning) {
    if (nowMs - subscription.heardAtMs < KEEP_ALIVE_MS) {
      return [];
    }
    subscription.askedAtMs = nowMs;
    timer.restart(context);
    return [sendSubscribe(feed, subscription, context)];
  }
  if (nowMs - subscription.askedAtMs >= SILENCE_LIMIT_MS) {
    state.brokenFlows += subscription.confirmed ? 1 : 0;
    return [closeFlow(state, subscription.flow, nowMs)];
  }
  if (!timer.isDue(nowMs)) {
    return [];
  }
  timer.backOff(context);
  return [sendSubscribe(feed, subscription, context)];
}

function sendSubscribe(
  feed: CallerFeed,
  subscription: FeedSubscription,
  context: StepContext,
): CallerEffect {
  return sendOnFlow(subscription.flow, {
    type: 'request',
    requestId: subscription.requestId,
    deadlineMs: Math.max(0, feed.deadlineAtMs - context.nowMs),
    feed: true,
    afterNotice: feed.delivered,
    payload: EMPTY_PAYLOAD,
  });
}

function recordMessage(subscription: FeedSubscription, context: StepContext): void {
  subscription.confirmed = true;
  subscription.heardAtMs = context.nowMs;
  subscription.timer.stop();
}

/** The first position that is received is where the feed begins; a later jump is a gap. */
function applyPosition(feed: CallerFeed, afterNotice: number): CallerEffect[] {
  const first = feed.delivered + 1;
  if (afterNotice < first) {
    feed.positionKnown = true;
    return [];
  }
  feed.delivered = afterNotice;
  if (!feed.positionKnown) {
    feed.positionKnown = true;
    return [];
  }
  return [{ type: 'notices-missed', first, last: afterNotice }];
}

function deliverEarly(feed: CallerFeed): CallerEffect[] {
  const effects: CallerEffect[] = [];
  for (const number of feed.early.keys()) {
    if (number <= feed.delivered) {
      feed.early.delete(number);
    }
  }
  for (
    let payload = feed.early.get(feed.delivered + 1);
    payload !== undefined;
    payload = feed.early.get(feed.delivered + 1)
  ) {
    feed.delivered += 1;
    feed.early.delete(feed.delivered);
    effects.push({ type: 'notice', number: feed.delivered, payload });
  }
  return effects;
}

function subscriptionOn(
  feed: CallerFeed | undefined,
  flow: OpenFlow,
  requestId: number,
): FeedSubscription | undefined {
  return [feed?.current, feed?.next].find(
    (subscription) => subscription?.flow === flow && subscription.requestId === requestId,
  );
}
