/**
 * @file The feed of the balancers that are linked to this control machine: one full sync, then updates that are
 * gathered for a tick, and a pulse where nothing changes. It owns the subscribers. What each gets and when is decided
 * in feed-plan.ts; feed-messages.ts makes the messages.
 */
import type { LinkId } from '../../../shared/common/link-table.js';
import { messageOf, type FeedMessageState } from './feed-messages.js';
import { isBehind, planMessages, type FeedPlanState } from './feed-plan.js';
import type { GroupEffect } from '../group-events.js';
import type { SubscribeMessage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { isCurrent } from '../leadership.js';
import { hasNoUpdates, mergeUpdates } from './pending-updates.js';
import { createSubscriber, type Subscriber } from './subscribers.js';

/** What the feed needs of the machine. */
type FeedState = FeedPlanState & FeedMessageState & Pick<GroupState, 'subscribers' | 'updates'>;

/**
 * Adds a balancer that subscribed on a link.
 */
export function addSubscriber(
  { subscribers, balancers }: Pick<GroupState, 'subscribers' | 'balancers'>,
  linkId: LinkId,
  message: SubscribeMessage,
): void {
  subscribers.set(linkId, createSubscriber(message));
  balancers.recordOwnChange();
}

/**
 * Forgets a balancer whose link is closed, with what it reported.
 */
export function removeSubscriber(
  {
    subscribers,
    balancers,
    loads,
    answerStats,
  }: Pick<GroupState, 'subscribers' | 'balancers' | 'loads' | 'answerStats'>,
  linkId: LinkId,
): void {
  loads.totals.removeReporter(linkId);
  answerStats.totals.removeReporter(linkId);
  if (subscribers.delete(linkId)) {
    balancers.recordOwnChange();
  }
}

/**
 * Sends a balancer what it lacks, at once after it subscribed or acknowledged a message; the others learn of a new
 * balancer with the next tick.
 */
export function feedOne(state: FeedState, linkId: LinkId, nowMs: number): GroupEffect[] {
  const subscriber = state.subscribers.get(linkId);
  return subscriber === undefined ? [] : feedSubscriber(state, linkId, subscriber, nowMs);
}

/**
 * Applies the acknowledgement of a balancer: it has applied the first `count` counted messages of its link.
 */
export function applyFeedTaken(
  state: FeedState,
  linkId: LinkId,
  count: number,
  nowMs: number,
): GroupEffect[] {
  const subscriber = state.subscribers.get(linkId);
  if (subscriber === undefined) {
    return [];
  }
  subscriber.countedApplied = Math.min(count, subscriber.countedSent);
  return isBehind(state, subscriber) ? feedOne(state, linkId, nowMs) : [];
}

/**
 * Sends each balancer what it lacks; called with each tick.
 */
export function feedSubscribers(state: FeedState, nowMs: number): GroupEffect[] {
  const { subscribers, balancers, updates } = state;
  const ownBalancers = () => [...subscribers.values()].map(({ balancer }) => balancer);
  balancers.publish(ownBalancers).forEach((name) => updates.addBalancer(name));
  const sinceLastTick = updates.take();
  if (!hasNoUpdates(sinceLastTick)) {
    for (const { pendingUpdates } of subscribers.values()) {
      mergeUpdates(pendingUpdates, sinceLastTick);
    }
  }
  state.feedMessages.clear();
  return [...subscribers].flatMap(([linkId, subscriber]) =>
    feedSubscriber(state, linkId, subscriber, nowMs),
  );
}

function feedSubscriber(
  state: FeedState,
  linkId: LinkId,
  subscriber: Subscriber,
  nowMs: number,
): GroupEffect[] {
  const plans = planMessages(state, subscriber, isCurrent(state, nowMs), nowMs);
  return plans.map((plan) => {
    subscriber.wasSentCurrent = plan.isCurrent;
    subscriber.nextPulseAtMs = nowMs + state.options.timing.feedKeepaliveIntervalMs;
    return { type: 'send-feed', linkId, message: messageOf(state, plan, nowMs) };
  });
}
