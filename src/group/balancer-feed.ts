/**
 * @file What a control machine tells the balancers that are linked to it: the whole state once, then
 * what changes, gathered for a tick, and a pulse where nothing does.
 */
import { formatAddress } from '../common/address.js';
import type { LinkId } from '../common/link-table.js';
import { currentMembership } from '../consensus/consensus-state.js';
import { createLoadOutlet } from '../load-exchange/load-outlet.js';
import { noteBalancersChanged, publishBalancers, type BalancerChanges } from './balancer-list.js';
import type { GroupEffect } from './group-events.js';
import type { AgedRecord, ControlInfo, FeedMessage, SubscribeMessage } from './group-messages.js';
import { isCurrent, noChanges, type GroupState, type Subscriber } from './group-state.js';

type FeedParts = Omit<FeedMessage, 'type' | 'isCurrent'>;

/**
 * Takes a balancer that wants the feed.
 */
export function addSubscriber(state: GroupState, linkId: LinkId, message: SubscribeMessage): void {
  const { balancer, configVersion } = message;
  state.subscribers.set(linkId, {
    balancer,
    configVersion,
    phase: 'new',
    nextPulseAtMs: Number.NEGATIVE_INFINITY,
    loadsVersion: -1,
    loadsOutlet: createLoadOutlet(),
  });
  noteBalancersChanged(state);
}

/**
 * Forgets a balancer whose link is closed.
 */
export function removeSubscriber(state: GroupState, linkId: LinkId): void {
  state.loads.dropReporter(linkId);
  if (state.subscribers.delete(linkId)) {
    noteBalancersChanged(state);
  }
}

/**
 * Sends a balancer that has just come the whole state; the others hear of it with the next tick.
 */
export function feedNewcomer(state: GroupState, linkId: LinkId, nowMs: number): GroupEffect[] {
  const subscriber = state.subscribers.get(linkId);
  return subscriber === undefined
    ? []
    : [feedEffect(state, linkId, subscriber, wholeParts(state, nowMs), nowMs)];
}

/**
 * Sends each balancer what it lacks.
 */
export function feedSubscribers(state: GroupState, nowMs: number): GroupEffect[] {
  const current = isCurrent(state, nowMs);
  const changes = changedParts(state, publishBalancers(state));
  const hasNews = Object.keys(changes).length > 0 || current !== state.wasCurrent;
  const effects: GroupEffect[] = [];
  for (const [linkId, subscriber] of state.subscribers) {
    if (lacksWhole(subscriber, current)) {
      effects.push(feedEffect(state, linkId, subscriber, wholeParts(state, nowMs), nowMs));
    } else if (
      hasNews ||
      newerConfig(state, subscriber) !== undefined ||
      nowMs >= subscriber.nextPulseAtMs
    ) {
      effects.push(feedEffect(state, linkId, subscriber, changes, nowMs));
    }
  }
  state.wasCurrent = current;
  state.changes = noChanges();
  return effects;
}

function feedEffect(
  state: GroupState,
  linkId: LinkId,
  subscriber: Subscriber,
  parts: FeedParts,
  nowMs: number,
): GroupEffect {
  const current = isCurrent(state, nowMs);
  const config = newerConfig(state, subscriber);
  noteFed(state, subscriber, current, nowMs);
  const message: FeedMessage = {
    type: 'feed',
    isCurrent: current,
    ...(config !== undefined && { config }),
    ...parts,
  };
  return { type: 'send-feed', linkId, message };
}

function lacksWhole({ phase }: Subscriber, current: boolean): boolean {
  return phase === 'new' || (phase === 'provisional' && current);
}

function newerConfig({ config }: GroupState, subscriber: Subscriber): FeedMessage['config'] {
  return config !== undefined && config.version > subscriber.configVersion ? config : undefined;
}

function noteFed(state: GroupState, subscriber: Subscriber, current: boolean, nowMs: number): void {
  subscriber.configVersion = Math.max(subscriber.configVersion, state.config?.version ?? 0);
  subscriber.nextPulseAtMs = nowMs + state.options.timing.feedPulseIntervalMs;
  if (subscriber.phase !== 'fed') {
    subscriber.phase = current ? 'fed' : 'provisional';
  }
}

function changedParts(state: GroupState, balancers: BalancerChanges): FeedParts {
  const { records, judgements, departures, controlsChanged } = state.changes;
  return {
    ...(records.length > 0 && { records }),
    ...(judgements.length > 0 && { judgements }),
    ...(departures.length > 0 && { departures }),
    ...(balancers.added.length > 0 && { balancers: balancers.added }),
    ...(balancers.lost.length > 0 && { lostBalancers: balancers.lost }),
    ...(controlsChanged && { controls: allControls(state) }),
  };
}

function wholeParts(state: GroupState, nowMs: number): FeedParts {
  return {
    isWhole: true,
    records: allRecords(state, nowMs),
    departures: state.replicated.allDepartures(),
    balancers: [...state.publishedBalancers.values()],
    controls: allControls(state),
  };
}

function allRecords(state: GroupState, nowMs: number): AgedRecord[] {
  const listeningSinceMs = state.listeningSinceMs ?? Number.NEGATIVE_INFINITY;
  return [...state.registry.all()].map(({ record, heardAtMs }) => ({
    record,
    ageMs: Math.max(0, Math.round(nowMs - Math.max(heardAtMs, listeningSinceMs))),
  }));
}

function allControls(state: GroupState): ControlInfo[] {
  const addresses = currentMembership(state.consensus).members.map(
    ({ linkAddress }) => linkAddress,
  );
  const byText = new Map(addresses.map((address) => [formatAddress(address), address]));
  return [...byText.values()].map((linkAddress) => ({ linkAddress }));
}
