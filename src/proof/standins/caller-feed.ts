/**
 * @file The feed of a stand-in caller: ordered, exactly-once delivery of notices. The feed moves to
 * another flow make-before-break: the old subscription ends once the new one is confirmed.
 */
import type { StepContext } from '../../shared/common/step.js';
import type {
  AnswerMessage,
  RefuseMessage,
  SubscribedMessage,
} from '../../managed/flow/messages.js';
import {
  closeFlow,
  retireFlow,
  sendOnFlow,
  startRetransmitTimer,
  type CallerEffect,
  type CallerFeed,
  type CallerState,
  type FeedSubscription,
  type OpenFlow,
} from './caller-state.js';

/** Maximum number of buffered notices while an earlier one is missing. */
const MAX_OUT_OF_ORDER_NOTICES = 64;
/** Idle time after which the caller repeats its subscription to check it. */
const KEEP_ALIVE_INTERVAL_MS = 5_000;
/** Time without a reply after which a subscription counts as lost. */
const SUBSCRIBE_TIMEOUT_MS = 5_000;
/** Refusals for a gap after which the missing notices count as missed. */
const MAX_GAP_REFUSALS = 3;
/** Delay before trying another back end after a gap. */
const GAP_RETRY_MS = 200;
const EMPTY_PAYLOAD = new Uint8Array(0);

/**
 * Ends a completed feed; otherwise subscribes on the current flow, retransmits subscriptions, and
 * closes the flows of those that timed out.
 */
export function feedTick(state: CallerState, context: StepContext): CallerEffect[] {
  const { feed } = state;
  if (feed === undefined) {
    return [];
  }
  if (feed.lastDelivered >= feed.lastNotice || context.nowMs >= feed.deadlineAtMs) {
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
 * Handles the confirmation of a subscription, and completes a move to a new flow.
 */
export function handleSubscribed(
  state: CallerState,
  flow: OpenFlow,
  message: SubscribedMessage,
  context: StepContext,
): CallerEffect[] {
  const { feed } = state;
  const subscription = findSubscription(feed, flow, message.requestId);
  if (feed === undefined || subscription === undefined) {
    return [];
  }
  if (wouldSkipNotices(feed, subscription, message.afterNotice)) {
    feed.next = undefined;
    retireFlow(state, flow, context.nowMs + GAP_RETRY_MS);
    return [];
  }
  recordConfirmation(subscription, context);
  feed.gapRefusals = 0;
  const effects = applyPosition(feed, message.afterNotice);
  if (feed.next === subscription) {
    effects.push(...cancelSubscription(feed.current));
    feed.current = subscription;
    feed.next = undefined;
  }
  effects.push(...deliverInOrder(feed));
  return effects;
}

/**
 * Buffers a notice from the current or the next subscription, delivers what is in order, and
 * acknowledges it.
 */
export function handleNotice(
  state: CallerState,
  flow: OpenFlow,
  notice: AnswerMessage,
  context: StepContext,
): CallerEffect[] {
  const { feed } = state;
  const subscription = findSubscription(feed, flow, notice.requestId);
  if (feed === undefined || subscription === undefined) {
    return [];
  }
  subscription.lastReceivedAtMs = context.nowMs;
  const isNew = notice.part > feed.lastDelivered;
  if (isNew && feed.outOfOrder.size < MAX_OUT_OF_ORDER_NOTICES) {
    feed.outOfOrder.set(notice.part, Uint8Array.from(notice.payload));
  }
  const effects = feed.positionKnown ? deliverInOrder(feed) : [];
  const { requestId } = subscription;
  effects.push(sendOnFlow(flow, { type: 'acknowledge', requestId, part: feed.lastDelivered }));
  return effects;
}

/**
 * Handles the refusal of a subscription. If the back end no longer holds the next notice, others are
 * tried before the notices count as missed.
 * @returns undefined if the refusal belongs to no subscription
 */
export function handleFeedRefusal(
  state: CallerState,
  flow: OpenFlow,
  refusal: RefuseMessage,
  context: StepContext,
): CallerEffect[] | undefined {
  const { feed } = state;
  const subscription = findSubscription(feed, flow, refusal.requestId ?? -1);
  if (feed === undefined || subscription === undefined) {
    return undefined;
  }
  removeSubscription(feed, subscription);
  const isGap = refusal.kind === 'notices-gone';
  const retryAfterMs = refusal.retryAfterMs ?? (isGap ? GAP_RETRY_MS : 0);
  retireFlow(state, flow, context.nowMs + retryAfterMs);
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

/** True if the move would lose notices that the new back end lacks but the current one may deliver. */
function wouldSkipNotices(
  feed: CallerFeed,
  subscription: FeedSubscription,
  afterNotice: number,
): boolean {
  const isMoving = feed.next === subscription && feed.current !== undefined;
  return isMoving && feed.positionKnown && afterNotice > feed.lastDelivered;
}

function endFeed(state: CallerState, feed: CallerFeed): CallerEffect[] {
  state.feed = undefined;
  return [...cancelSubscription(feed.current), ...cancelSubscription(feed.next)];
}

function cancelSubscription(subscription: FeedSubscription | undefined): CallerEffect[] {
  if (subscription === undefined) {
    return [];
  }
  const { flow, requestId } = subscription;
  return [sendOnFlow(flow, { type: 'cancel', requestId })];
}

function removeSubscription(feed: CallerFeed, subscription: FeedSubscription): void {
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
    requestedAtMs: context.nowMs,
    lastReceivedAtMs: context.nowMs,
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
    if (nowMs - subscription.lastReceivedAtMs < KEEP_ALIVE_INTERVAL_MS) {
      return [];
    }
    subscription.requestedAtMs = nowMs;
    timer.restart(context);
    return [sendSubscribe(feed, subscription, context)];
  }
  if (nowMs - subscription.requestedAtMs >= SUBSCRIBE_TIMEOUT_MS) {
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
    afterNotice: feed.lastDelivered,
    payload: EMPTY_PAYLOAD,
  });
}

function recordConfirmation(subscription: FeedSubscription, context: StepContext): void {
  subscription.confirmed = true;
  subscription.lastReceivedAtMs = context.nowMs;
  subscription.timer.stop();
}

/** The first position received is the start of the feed; a later jump is reported as missed notices. */
function applyPosition(feed: CallerFeed, afterNotice: number): CallerEffect[] {
  const first = feed.lastDelivered + 1;
  if (afterNotice < first) {
    feed.positionKnown = true;
    return [];
  }
  feed.lastDelivered = afterNotice;
  if (!feed.positionKnown) {
    feed.positionKnown = true;
    return [];
  }
  return [{ type: 'notices-missed', first, last: afterNotice }];
}

function deliverInOrder(feed: CallerFeed): CallerEffect[] {
  const effects: CallerEffect[] = [];
  for (const number of feed.outOfOrder.keys()) {
    if (number <= feed.lastDelivered) {
      feed.outOfOrder.delete(number);
    }
  }
  for (
    let payload = feed.outOfOrder.get(feed.lastDelivered + 1);
    payload !== undefined;
    payload = feed.outOfOrder.get(feed.lastDelivered + 1)
  ) {
    feed.lastDelivered += 1;
    feed.outOfOrder.delete(feed.lastDelivered);
    effects.push({ type: 'notice', number: feed.lastDelivered, payload });
  }
  return effects;
}

function findSubscription(
  feed: CallerFeed | undefined,
  flow: OpenFlow,
  requestId: number,
): FeedSubscription | undefined {
  return [feed?.current, feed?.next].find(
    (subscription) => subscription?.flow === flow && subscription.requestId === requestId,
  );
}
