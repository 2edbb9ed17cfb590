/**
 * @file Feeds the balancers that are connected to this control machine: a full sync, then the updates of each tick, and
 * keep-alives when nothing changes. feed-plan.ts plans the messages, feed-messages.ts builds them.
 */
import type { LinkId } from '../../../shared/common/link-table.js';
import { messageForPlan, type FeedMessageState } from './feed-messages.js';
import { isBehind, planMessages, type FeedPlanState } from './feed-plan.js';
import type { GroupEffect } from '../group-events.js';
import type { SubscribeMessage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { isCurrent } from '../leadership.js';
import { hasNoUpdates, mergeUpdates } from './pending-updates.js';
import { createSubscriber, type Subscriber } from './subscribers.js';

/** The part of the group state that feeds depend on. */
type FeedState = FeedPlanState & FeedMessageState & Pick<GroupState, 'subscribers' | 'updates'>;

/**
 * Adds the balancer that subscribed on a link; sends nothing yet.
 */
export function addSubscriber(
  { subscribers, balancers }: Pick<GroupState, 'subscribers' | 'balancers'>,
  linkId: LinkId,
  message: SubscribeMessage,
): void {
  subscribers.set(linkId, createSubscriber(message));
  balancers.recordLocalChange();
}

/**
 * Removes the balancer of a closed link, with its load reports.
 */
export function removeSubscriber(
  {
    subscribers,
    balancers,
    loads,
    answerStats,
    suspicions,
  }: Pick<GroupState, 'subscribers' | 'balancers' | 'loads' | 'answerStats' | 'suspicions'>,
  linkId: LinkId,
): void {
  loads.totals.removeReporter(linkId);
  answerStats.totals.removeReporter(linkId);
  suspicions.totals.removeReporter(linkId);
  if (subscribers.delete(linkId)) {
    balancers.recordLocalChange();
  }
}

/**
 * Sends one balancer its due messages without waiting for the tick, after it subscribed or acknowledged a message. The
 * other balancers are sent a new balancer with the next tick.
 */
export function feedSubscriber(state: FeedState, linkId: LinkId, nowMs: number): GroupEffect[] {
  const subscriber = state.subscribers.get(linkId);
  return subscriber === undefined ? [] : sendDueMessages(state, linkId, subscriber, nowMs);
}

/**
 * Records that a balancer has applied the first `count` counted messages of its link, and sends it the next ones.
 */
export function applyAcknowledgement(
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
  return isBehind(state, subscriber) ? feedSubscriber(state, linkId, nowMs) : [];
}

/**
 * Called each tick: adds the new updates to those pending for each balancer, and sends all due messages.
 */
export function feedSubscribers(state: FeedState, nowMs: number): GroupEffect[] {
  const { subscribers, balancers, updates } = state;
  const listLocalBalancers = () => [...subscribers.values()].map(({ balancer }) => balancer);
  balancers.publish(listLocalBalancers).forEach((name) => updates.addBalancer(name));
  const newUpdates = updates.take();
  if (!hasNoUpdates(newUpdates)) {
    for (const { pendingUpdates } of subscribers.values()) {
      mergeUpdates(pendingUpdates, newUpdates);
    }
  }
  state.feedMessages.clear();
  return [...subscribers].flatMap(([linkId, subscriber]) =>
    sendDueMessages(state, linkId, subscriber, nowMs),
  );
}

function sendDueMessages(
  state: FeedState,
  linkId: LinkId,
  subscriber: Subscriber,
  nowMs: number,
): GroupEffect[] {
  const plans = planMessages(state, subscriber, isCurrent(state, nowMs), nowMs);
  return plans.map((plan) => {
    subscriber.lastSentIsCurrent = plan.isCurrent;
    subscriber.nextKeepAliveAtMs = nowMs + state.options.timing.feedKeepAliveIntervalMs;
    return { type: 'send-feed', linkId, message: messageForPlan(state, plan, nowMs) };
  });
}
