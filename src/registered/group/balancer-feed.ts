/**
 * @file What a control machine tells the balancers that are linked to it: the whole state once, then what
 * changes, gathered for a tick, and a pulse where nothing does.
 *
 * A link may be slow or its receiver may stand still. Each message is bounded; a balancer answers those
 * that say something, and no more than a few are under way to it. What it can't be told yet waits as news,
 * merged, and holds up nobody else.
 */
import type { LinkId } from '../../shared/common/link-table.js';
import { partOf, type ConfigPart, type ConfigUpdate } from '../declared/config-update.js';
import { ANSWER_STATS_ROWS } from '../load-exchange/answer-stats.js';
import { createLoadOutlet } from '../load-exchange/load-outlet.js';
import { noteBalancersChanged, publishBalancers } from './balancer-list.js';
import { feedParts } from './feed-parts.js';
import {
  mergeUpdates,
  createPendingUpdates,
  hasNoUpdates,
  takeUpdates,
  type PendingUpdates,
} from './pending-updates.js';
import type { GroupEffect } from './group-events.js';
import type { FeedMessage, FullSyncStage, SubscribeMessage } from './group-messages.js';
import { isCurrent, type GroupState, type Subscriber } from './group-state.js';

/** What a message is to tell; what is said of each name is looked up when the message is made. */
interface MessagePlan {
  readonly isCurrent: boolean;
  /** Whether anything is left to be told after it. */
  readonly isComplete: boolean;
  readonly isCounted: boolean;
  readonly updates: PendingUpdates;
  readonly transfer?: FullSyncStage;
  readonly config?: ConfigPart;
}

/** Messages that may be under way to a balancer: one that it takes, and the next one behind it. */
const MAX_UNDER_WAY = 2;
/** Back ends or balancers in one message: some 9 KB, which 2 Mbit/s carry in 36 ms. */
const MAX_NAMES = 256;
/**
 * Departures in a transfer of back ends whose records are forgotten: four messages. All that the group keeps would
 * be eighty, more than a second of 2 Mbit/s before a balancer that has started is ready.
 */
const MAX_OLD_DEPARTURES = 1_000;
/** Changes of routes in one message: some 8 KB. */
const MAX_ROUTE_CHANGES = 1_000;

/**
 * Takes a balancer that wants the feed.
 */
export function addSubscriber(state: GroupState, linkId: LinkId, message: SubscribeMessage): void {
  const { balancer, configVersion, unfinished } = message;
  state.subscribers.set(linkId, {
    balancer,
    configVersion,
    unfinished,
    phase: 'new',
    pendingUpdates: createPendingUpdates(),
    isInFullSync: false,
    countedSent: 0,
    countedApplied: 0,
    wasSentCurrent: false,
    nextPulseAtMs: Number.NEGATIVE_INFINITY,
    loads: { version: -1, outlet: createLoadOutlet() },
    signals: {
      version: -1,
      outlet: createLoadOutlet(Number.POSITIVE_INFINITY, ANSWER_STATS_ROWS),
    },
  });
  noteBalancersChanged(state);
}

/**
 * Forgets a balancer whose link is closed.
 */
export function removeSubscriber(state: GroupState, linkId: LinkId): void {
  state.loads.dropReporter(linkId);
  state.signals.dropReporter(linkId);
  if (state.subscribers.delete(linkId)) {
    noteBalancersChanged(state);
  }
}

/**
 * Sends a balancer that has just come, or has taken a message, what it lacks; the others hear of a newcomer
 * with the next tick.
 */
export function feedOne(state: GroupState, linkId: LinkId, nowMs: number): GroupEffect[] {
  const subscriber = state.subscribers.get(linkId);
  return subscriber === undefined ? [] : feedWhatIsLacking(state, linkId, subscriber, nowMs);
}

/**
 * Takes the word of a balancer that it has taken what it was sent.
 */
export function applyFeedTaken(
  state: GroupState,
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
 * @returns true where a balancer has not yet taken what was sent to it, so that nothing more should be
 */
export function isBusy({ countedSent, countedApplied }: Subscriber): boolean {
  return countedSent - countedApplied >= MAX_UNDER_WAY;
}

/**
 * Sends each balancer what it lacks.
 */
export function feedSubscribers(state: GroupState, nowMs: number): GroupEffect[] {
  publishBalancers(state).forEach((name) => state.pendingUpdates.balancers.add(name));
  const { pendingUpdates } = state;
  state.pendingUpdates = createPendingUpdates();
  if (!hasNoUpdates(pendingUpdates)) {
    for (const subscriber of state.subscribers.values()) {
      mergeUpdates(subscriber.pendingUpdates, pendingUpdates);
    }
  }
  state.feedMessages.clear();
  return [...state.subscribers].flatMap(([linkId, subscriber]) =>
    feedWhatIsLacking(state, linkId, subscriber, nowMs),
  );
}

function feedWhatIsLacking(
  state: GroupState,
  linkId: LinkId,
  subscriber: Subscriber,
  nowMs: number,
): GroupEffect[] {
  const current = isCurrent(state, nowMs);
  if (needsFullSync(subscriber, current)) {
    beginFullSync(state, subscriber, current);
  }
  const plans: MessagePlan[] = [];
  while (!isBusy(subscriber) && isBehind(state, subscriber)) {
    plans.push(planNext(state, subscriber, current));
    subscriber.countedSent += 1;
  }
  const isNewlyCurrent = current !== subscriber.wasSentCurrent && !isBusy(subscriber);
  if (plans.length === 0 && (isNewlyCurrent || nowMs >= subscriber.nextPulseAtMs)) {
    plans.push(planPulse(state, subscriber, current));
  }
  return plans.map((plan) => {
    subscriber.wasSentCurrent = plan.isCurrent;
    subscriber.nextPulseAtMs = nowMs + state.options.timing.feedPulseIntervalMs;
    return { type: 'send-feed', linkId, message: messageOf(state, plan, nowMs) };
  });
}

function planPulse(state: GroupState, subscriber: Subscriber, current: boolean): MessagePlan {
  return {
    isCurrent: current,
    isComplete: !isBehind(state, subscriber),
    isCounted: false,
    updates: createPendingUpdates(),
  };
}

/** Balancers that lack the same get the same message, whose bytes are then made once. */
function messageOf(state: GroupState, plan: MessagePlan, nowMs: number): FeedMessage {
  const key = keyOfPlan(plan);
  const message = state.feedMessages.get(key) ?? makeMessage(state, plan, nowMs);
  state.feedMessages.set(key, message);
  return message;
}

function keyOfPlan({ updates, config, ...plan }: MessagePlan): string {
  const { registered, livenessChanged, departed, balancers, areControlsChanged, areZonesChanged } =
    updates;
  const names = [registered, livenessChanged, departed, balancers].map((set) => [...set].join(' '));
  const part = config && [config.baseVersion, config.version, config.firstChange];
  return JSON.stringify([plan, names, areControlsChanged, areZonesChanged, part]);
}

function makeMessage(state: GroupState, plan: MessagePlan, nowMs: number): FeedMessage {
  const { updates, transfer, config, ...flags } = plan;
  return {
    type: 'feed',
    ...flags,
    ...feedParts(state, updates, nowMs),
    ...(transfer && { transfer }),
    ...(config && { config }),
  };
}

function needsFullSync({ phase }: Subscriber, current: boolean): boolean {
  return phase === 'new' || (phase === 'provisional' && current);
}

/** All that there is becomes news. */
function beginFullSync(state: GroupState, subscriber: Subscriber, current: boolean): void {
  const { registry, publishedBalancers } = state;
  subscriber.pendingUpdates = {
    registered: new Set([...registry.all()].map(({ record }) => record.id)),
    livenessChanged: new Set(),
    departed: new Set(departuresForFullSync(state)),
    balancers: new Set(publishedBalancers.keys()),
    areControlsChanged: true,
    areZonesChanged: true,
  };
  subscriber.isInFullSync = false;
  subscriber.phase = current ? 'transfer-current' : 'transfer-provisional';
}

/**
 * Departures of back ends that are told come in the order of their records, so that none is told after its
 * record and takes flows meanwhile. Of those that are not told any more, the newest come; a balancer that still
 * knows an older one takes it for silent at the end of the transfer.
 */
function departuresForFullSync({ registry, replicated }: GroupState): string[] {
  const ofRecords = [...registry.all()].map(({ record }) => record.id);
  const departed = replicated.allDepartures().map(({ backendId }) => backendId);
  const others = departed.filter((id) => registry.get(id) === undefined);
  return [
    ...ofRecords.filter((id) => replicated.departureOf(id) !== undefined),
    ...others.slice(-MAX_OLD_DEPARTURES).reverse(),
  ];
}

/**
 * @returns true where a balancer lacks something that this machine knows
 */
export function isBehind(
  state: GroupState,
  { pendingUpdates, configVersion, phase }: Subscriber,
): boolean {
  return (
    isFullSync(phase) || !hasNoUpdates(pendingUpdates) || configVersion < state.configs.version
  );
}

function isFullSync(phase: Subscriber['phase']): boolean {
  return phase === 'transfer-current' || phase === 'transfer-provisional';
}

/** Back ends come before routes: placement waits for both, and routes may be many. */
function planNext(state: GroupState, subscriber: Subscriber, current: boolean): MessagePlan {
  const updates = takeUpdates(subscriber.pendingUpdates, MAX_NAMES);
  const hasAllNews = hasNoUpdates(subscriber.pendingUpdates);
  const transfer = isFullSync(subscriber.phase)
    ? nextFullSyncStage(subscriber, hasAllNews)
    : undefined;
  const config = hasAllNews ? nextConfigPart(state, subscriber) : undefined;
  return {
    isCurrent: current,
    isComplete: !isBehind(state, subscriber),
    isCounted: true,
    updates,
    ...(transfer && { transfer }),
    ...(config && { config }),
  };
}

function nextFullSyncStage(subscriber: Subscriber, isLast: boolean): FullSyncStage {
  const isFirst = !subscriber.isInFullSync;
  subscriber.isInFullSync = !isLast;
  if (isLast) {
    subscriber.phase = subscriber.phase === 'transfer-current' ? 'fed' : 'provisional';
    return isFirst ? 'whole' : 'ends';
  }
  return isFirst ? 'begins' : 'goes-on';
}

/** Goes on where the balancer has some of the same update already, from whomever. */
function nextConfigPart(state: GroupState, subscriber: Subscriber): ConfigPart | undefined {
  const update = state.configs.updateFrom(subscriber.configVersion);
  if (update === undefined) {
    return undefined;
  }
  const part = partOf(update, changesTaken(subscriber, update), MAX_ROUTE_CHANGES);
  const { version, baseVersion, firstChange, changes, changeCount } = part;
  const changesSent = firstChange + changes.length;
  if (changesSent < changeCount) {
    subscriber.unfinished = { version, baseVersion, changesTaken: changesSent };
  } else {
    subscriber.unfinished = undefined;
    subscriber.configVersion = version;
  }
  return part;
}

function changesTaken({ unfinished }: Subscriber, update: ConfigUpdate): number {
  const isSame =
    unfinished?.version === update.version &&
    unfinished.baseVersion === update.baseVersion &&
    unfinished.changesTaken <= update.changes.length;
  return isSame ? unfinished.changesTaken : 0;
}
