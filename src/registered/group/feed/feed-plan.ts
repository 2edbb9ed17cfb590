/**
 * @file What does a balancer get next: the whole state, updates, or a pulse; and how much of it in one message?
 *
 * Inputs: the subscriber with what it acknowledged and what waits for it, whether this machine is current, the
 * configuration history, the replicated state and the time, in milliseconds. Returns plans of messages, in order.
 *
 * - A balancer gets the whole state (a full sync) once after it subscribed; and once more when this machine becomes
 *   current, where it was not current at the first one. Otherwise it gets updates.
 * - No more than MAX_UNDER_WAY messages that it has not acknowledged are under way to it. What waits merges by name
 *   (pending-updates.ts), so a slow receiver gets the newest state of everything and holds up nobody.
 * - Each message is bounded in names and in changes of routes. Back ends come before routes: placement waits for both,
 *   and routes may be many.
 * - Where nothing is to be sent, a pulse says whether this machine is current: at once when that changes, otherwise
 *   every `feedKeepaliveIntervalMs` (timing.ts).
 *
 * Without bounds a configuration of 2,710 routes is one message of 287,446 bytes, 1.15 s of a link of 2 Mbit/s, and the
 * feed is given up before it has come (docs/incidents/tv-cartago-grown-drain.md). The ways weighed are in
 * docs/design/links.md. Log lines at the balancer: `feed lost`, `feed left`, `feed not reached`.
 */
import { partOf, type ConfigPart, type ConfigUpdate } from '../../declared/config-update.js';
import type { FullSyncStage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import {
  createPendingUpdates,
  hasNoUpdates,
  takeUpdates,
  type PendingUpdates,
} from './pending-updates.js';
import type { Subscriber, SubscriberPhase } from './subscribers.js';

/** What a plan depends on. */
export type FeedPlanState = Pick<GroupState, 'balancers' | 'configs' | 'registry' | 'replicated'>;

/** What a message will say, by name; the state of each name is looked up when the message is made. */
export interface MessagePlan {
  readonly isCurrent: boolean;
  /** Whether the receiver lacks nothing after it. */
  readonly isComplete: boolean;
  readonly isCounted: boolean;
  readonly updates: PendingUpdates;
  readonly transfer?: FullSyncStage;
  readonly config?: ConfigPart;
}

/**
 * Messages that may be under way to a balancer: one that it applies, and the next one behind it. Not measured by
 * itself; with one a link would rest for a round trip after each message, with more a slow link would hold older state.
 */
const MAX_UNDER_WAY = 2;
/**
 * Back ends or balancers in one message: some 9 KB, which 2 Mbit/s carry in 36 ms, less than the time after which a
 * silent feed is given up (timing.ts).
 */
const MAX_NAMES = 256;
/**
 * Departures in a full sync of back ends whose records are forgotten: four messages. All 20,000 that the group keeps
 * were 76 messages, more than a second of 2 Mbit/s before a balancer that has started is ready (docs/design/links.md).
 */
const MAX_OLD_DEPARTURES = 1_000;
/** Changes of routes in one message: some 8 KB, by the same reason as MAX_NAMES. */
const MAX_ROUTE_CHANGES = 1_000;

/**
 * Plans what a balancer gets now; what is planned counts as sent.
 * @param current whether this machine is current
 */
export function planMessages(
  state: FeedPlanState,
  subscriber: Subscriber,
  current: boolean,
  nowMs: number,
): MessagePlan[] {
  if (needsFullSync(subscriber, current)) {
    beginFullSync(state, subscriber, current);
  }
  const plans: MessagePlan[] = [];
  while (!isBusy(subscriber) && isBehind(state, subscriber)) {
    plans.push(planNext(state, subscriber, current));
    subscriber.countedSent += 1;
  }
  if (plans.length === 0 && isPulseDue(subscriber, current, nowMs)) {
    plans.push(planPulse(state, subscriber, current));
  }
  return plans;
}

/**
 * @returns true where a balancer has not yet acknowledged what was sent to it, so that nothing more should be
 */
export function isBusy({ countedSent, countedApplied }: Subscriber): boolean {
  return countedSent - countedApplied >= MAX_UNDER_WAY;
}

/**
 * @returns true where a balancer lacks something that this machine knows
 */
export function isBehind(
  { configs }: Pick<FeedPlanState, 'configs'>,
  { pendingUpdates, configVersion, phase }: Subscriber,
): boolean {
  return isFullSync(phase) || !hasNoUpdates(pendingUpdates) || configVersion < configs.version;
}

function needsFullSync({ phase }: Subscriber, current: boolean): boolean {
  return phase === 'new' || (phase === 'provisional' && current);
}

function isFullSync(phase: SubscriberPhase): boolean {
  return phase === 'sync-current' || phase === 'sync-provisional';
}

/** All that this machine knows becomes a pending update. */
function beginFullSync(state: FeedPlanState, subscriber: Subscriber, current: boolean): void {
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
  subscriber.phase = current ? 'sync-current' : 'sync-provisional';
}

/**
 * Departures of known back ends come in the order of their records, so that none is sent after its record: in between
 * the balancer would place flows on it. Of the others the newest come; a balancer that still knows an older one
 * marks it suspect at the end of the full sync.
 */
function departuresForFullSync({ registry, replicated }: FeedPlanState): string[] {
  const ofRecords = [...registry.all()].map(({ record }) => record.id);
  const departed = replicated.allDepartures().map(({ backendId }) => backendId);
  const others = departed.filter((id) => registry.get(id) === undefined);
  return [
    ...ofRecords.filter((id) => replicated.departureOf(id) !== undefined),
    ...others.slice(-MAX_OLD_DEPARTURES).reverse(),
  ];
}

function planNext(state: FeedPlanState, subscriber: Subscriber, current: boolean): MessagePlan {
  const updates = takeUpdates(subscriber.pendingUpdates, MAX_NAMES);
  const hasAllNames = hasNoUpdates(subscriber.pendingUpdates);
  const transfer = isFullSync(subscriber.phase)
    ? nextFullSyncStage(subscriber, hasAllNames)
    : undefined;
  const config = hasAllNames ? nextConfigPart(state, subscriber) : undefined;
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
    subscriber.phase = subscriber.phase === 'sync-current' ? 'fed' : 'provisional';
    return isFirst ? 'whole' : 'ends';
  }
  return isFirst ? 'begins' : 'goes-on';
}

/** Goes on where the balancer has some of the same update already, from this machine or another one. */
function nextConfigPart(state: FeedPlanState, subscriber: Subscriber): ConfigPart | undefined {
  const update = state.configs.updateFrom(subscriber.configVersion);
  if (update === undefined) {
    return undefined;
  }
  const part = partOf(update, changesHeld(subscriber, update), MAX_ROUTE_CHANGES);
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

/** @returns how many changes of an update the balancer has already */
function changesHeld({ unfinished }: Subscriber, update: ConfigUpdate): number {
  const isSame =
    unfinished?.version === update.version &&
    unfinished.baseVersion === update.baseVersion &&
    unfinished.changesTaken <= update.changes.length;
  return isSame ? unfinished.changesTaken : 0;
}

function isPulseDue(subscriber: Subscriber, current: boolean, nowMs: number): boolean {
  const isNewlyCurrent = current !== subscriber.wasSentCurrent && !isBusy(subscriber);
  return isNewlyCurrent || nowMs >= subscriber.nextPulseAtMs;
}

function planPulse(state: FeedPlanState, subscriber: Subscriber, current: boolean): MessagePlan {
  return {
    isCurrent: current,
    isComplete: !isBehind(state, subscriber),
    isCounted: false,
    updates: createPendingUpdates(),
  };
}
