/**
 * @file Plans which messages a balancer is sent next: a full sync, updates, or a keep-alive.
 *
 * - A balancer gets a full sync after it subscribes, and another one when this machine becomes current if it was not
 *   current during the first.
 * - A window limits unacknowledged messages. Pending updates merge by name (pending-updates.ts), so a slow balancer
 *   gets the newest state and delays no other.
 * - Messages are bounded in size, since a large one on a slow link would outlast the feed timeout. Back ends are sent
 *   before routes: placement needs both, and there may be many routes.
 * - If nothing is due, a keep-alive says whether this machine is current: at intervals, and when that changes unless the
 *   window is full.
 */
import { nextPartOf, type ConfigPart, type ConfigUpdate } from '../../declared/config-update.js';
import type { FullSyncStage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import {
  createPendingUpdates,
  hasNoUpdates,
  takeUpdates,
  type PendingUpdates,
} from './pending-updates.js';
import type { Subscriber, SubscriberPhase } from './subscribers.js';

/** The part of the group state that plans depend on. */
export type FeedPlanState = Pick<GroupState, 'balancers' | 'configs' | 'registry' | 'replicated'>;

/** The content of a message by name; the state of each name is looked up when the message is built. */
export interface MessagePlan {
  readonly isCurrent: boolean;
  /** True if the balancer is up to date once it has applied the message. */
  readonly isComplete: boolean;
  readonly isCounted: boolean;
  readonly updates: PendingUpdates;
  readonly transfer?: FullSyncStage;
  readonly config?: ConfigPart;
}

/** The second one keeps the link in use while the first is acknowledged. */
const MAX_UNACKNOWLEDGED_MESSAGES = 2;
/**
 * Names of each kind per message; about 9 KB, so that a link of 2 Mbit/s carries the message well within the timeout of
 * a silent feed (timing.ts).
 */
const MAX_NAMES_PER_MESSAGE = 256;
/** Departures of unregistered back ends in a full sync; sending all that the group keeps would delay a new balancer. */
const MAX_UNREGISTERED_DEPARTURES = 1_000;

/**
 * Plans the messages that a balancer is due now, and records them as sent.
 * @param isCurrent whether this machine is current
 */
export function planMessages(
  state: FeedPlanState,
  subscriber: Subscriber,
  isCurrent: boolean,
  nowMs: number,
): MessagePlan[] {
  if (needsFullSync(subscriber, isCurrent)) {
    beginFullSync(state, subscriber, isCurrent);
  }
  const plans: MessagePlan[] = [];
  while (!isWindowFull(subscriber) && isBehind(state, subscriber)) {
    plans.push(planNextMessage(state, subscriber, isCurrent));
    subscriber.countedSent += 1;
  }
  if (plans.length === 0 && isKeepAliveDue(subscriber, isCurrent, nowMs)) {
    plans.push(planKeepAlive(state, subscriber, isCurrent));
  }
  return plans;
}

/**
 * @returns true if no more messages may be sent to a balancer until it acknowledges one
 */
export function isWindowFull({ countedSent, countedApplied }: Subscriber): boolean {
  return countedSent - countedApplied >= MAX_UNACKNOWLEDGED_MESSAGES;
}

/**
 * @returns true if there is anything that a balancer has not been sent yet
 */
export function isBehind(
  { configs }: Pick<FeedPlanState, 'configs'>,
  { pendingUpdates, configVersion, phase }: Subscriber,
): boolean {
  return isFullSync(phase) || !hasNoUpdates(pendingUpdates) || configVersion < configs.version;
}

function needsFullSync({ phase }: Subscriber, isCurrent: boolean): boolean {
  return phase === 'new' || (phase === 'provisional' && isCurrent);
}

function isFullSync(phase: SubscriberPhase): boolean {
  return phase === 'sync-current' || phase === 'sync-provisional';
}

/** Makes the whole state pending. */
function beginFullSync(state: FeedPlanState, subscriber: Subscriber, isCurrent: boolean): void {
  const { registry, balancers } = state;
  subscriber.pendingUpdates = {
    registered: new Set([...registry.all()].map(({ record }) => record.id)),
    livenessChanged: new Set(),
    departed: new Set(departuresForFullSync(state)),
    balancers: new Set(balancers.published.keys()),
    areControlsChanged: true,
    areZonesChanged: true,
  };
  subscriber.isInFullSync = false;
  subscriber.phase = isCurrent ? 'sync-current' : 'sync-provisional';
}

/**
 * Departures of registered back ends are in the order of their records, so that none is sent after its record; the
 * balancer would place flows on the back end in between. Of the others only the newest are sent; a balancer marks older
 * ones that it still has suspect at the end of the full sync.
 */
function departuresForFullSync({ registry, replicated }: FeedPlanState): string[] {
  const registeredIds = [...registry.all()].map(({ record }) => record.id);
  const departedIds = replicated.allDepartures().map(({ backendId }) => backendId);
  const unregisteredIds = departedIds.filter((id) => registry.get(id) === undefined);
  return [
    ...registeredIds.filter((id) => replicated.departureOf(id) !== undefined),
    ...unregisteredIds.slice(-MAX_UNREGISTERED_DEPARTURES).reverse(),
  ];
}

function planNextMessage(
  state: FeedPlanState,
  subscriber: Subscriber,
  isCurrent: boolean,
): MessagePlan {
  const updates = takeUpdates(subscriber.pendingUpdates, MAX_NAMES_PER_MESSAGE);
  const areNamesTaken = hasNoUpdates(subscriber.pendingUpdates);
  const transfer = isFullSync(subscriber.phase)
    ? nextFullSyncStage(subscriber, areNamesTaken)
    : undefined;
  const config = areNamesTaken ? nextConfigPart(state, subscriber) : undefined;
  return {
    isCurrent,
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
    subscriber.phase = subscriber.phase === 'sync-current' ? 'fed' : 'provisional';
    return isFirst ? 'whole' : 'ends';
  }
  return isFirst ? 'begins' : 'goes-on';
}

/** Resumes an update of which the balancer has received a part, from this machine or another one. */
function nextConfigPart(state: FeedPlanState, subscriber: Subscriber): ConfigPart | undefined {
  const update = state.configs.updateFrom(subscriber.configVersion);
  if (update === undefined) {
    return undefined;
  }
  const part = nextPartOf(update, changesReceived(subscriber, update));
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

/** @returns the number of changes of an update that the balancer has already received */
function changesReceived({ unfinished }: Subscriber, update: ConfigUpdate): number {
  const isSame =
    unfinished?.version === update.version &&
    unfinished.baseVersion === update.baseVersion &&
    unfinished.changesTaken <= update.changes.length;
  return isSame ? unfinished.changesTaken : 0;
}

function isKeepAliveDue(subscriber: Subscriber, isCurrent: boolean, nowMs: number): boolean {
  const hasStatusChanged = isCurrent !== subscriber.lastSentIsCurrent && !isWindowFull(subscriber);
  return hasStatusChanged || nowMs >= subscriber.nextKeepAliveAtMs;
}

function planKeepAlive(
  state: FeedPlanState,
  subscriber: Subscriber,
  isCurrent: boolean,
): MessagePlan {
  return {
    isCurrent,
    isComplete: !isBehind(state, subscriber),
    isCounted: false,
    updates: createPendingUpdates(),
  };
}
