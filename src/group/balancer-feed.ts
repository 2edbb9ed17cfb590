/**
 * @file What a control machine tells the balancers that are linked to it: the whole state once, then
 * what changes, gathered for a tick, and a pulse where nothing does.
 */
import { formatAddress } from '../common/address.js';
import type { LinkId } from '../common/link-table.js';
import { currentMembership } from '../consensus/consensus-state.js';
import type { GroupEffect } from './group-events.js';
import type {
  AgedRecord,
  BalancerInfo,
  ControlInfo,
  FeedMessage,
  SubscribeMessage,
} from './group-messages.js';
import {
  isCurrent,
  noChanges,
  otherMembers,
  type GroupState,
  type Subscriber,
} from './group-state.js';

/** Time between two lists of balancers to the other control machines. */
const SHARE_BALANCERS_INTERVAL_MS = 1_000;
/** A list of balancers of another control machine counts for so long. */
const BALANCERS_LIFETIME_MS = 4_000;

/**
 * Takes a balancer that wants the feed.
 */
export function addSubscriber(state: GroupState, linkId: LinkId, message: SubscribeMessage): void {
  const { balancer, configVersion } = message;
  state.subscribers.set(linkId, { balancer, configVersion, isNew: true });
  state.changes.listsChanged = true;
  state.nextBalancersShareAtMs = Number.NEGATIVE_INFINITY;
}

/**
 * Forgets a balancer whose link is closed.
 */
export function removeSubscriber(state: GroupState, linkId: LinkId): void {
  if (state.subscribers.delete(linkId)) {
    state.changes.listsChanged = true;
    state.nextBalancersShareAtMs = Number.NEGATIVE_INFINITY;
  }
}

/**
 * Tells the other control machines what came in here: heartbeats at once, balancers now and then.
 */
export function shareWithPeers(state: GroupState, nowMs: number): GroupEffect[] {
  const effects: GroupEffect[] = [];
  const peers = otherMembers(state).map(({ linkAddress }) => linkAddress);
  if (state.heartbeatsToShare.length > 0) {
    const records = state.heartbeatsToShare;
    state.heartbeatsToShare = [];
    effects.push(
      ...peers.map((to): GroupEffect => ({
        type: 'send-peer',
        to,
        message: { type: 'heartbeats', records },
      })),
    );
  }
  if (nowMs >= state.nextBalancersShareAtMs) {
    state.nextBalancersShareAtMs = nowMs + SHARE_BALANCERS_INTERVAL_MS;
    const balancers = [...state.subscribers.values()].map(({ balancer }) => balancer);
    const sender = state.options.linkAddress;
    effects.push(
      ...peers.map((to): GroupEffect => ({
        type: 'send-peer',
        to,
        message: { type: 'balancers', sender, balancers },
      })),
    );
  }
  return effects;
}

/**
 * Takes the balancers that another control machine feeds.
 */
export function takeBalancers(
  state: GroupState,
  sender: string,
  balancers: readonly BalancerInfo[],
  nowMs: number,
): void {
  const known = state.peerBalancers.get(sender);
  state.peerBalancers.set(sender, { balancers, heardAtMs: nowMs });
  if (known === undefined || namesOf(known.balancers) !== namesOf(balancers)) {
    state.changes.listsChanged = true;
  }
}

function namesOf(balancers: readonly BalancerInfo[]): string {
  return balancers.map(({ name }) => name).join(' ');
}

/**
 * Sends each balancer what it lacks.
 */
export function feedSubscribers(state: GroupState, nowMs: number): GroupEffect[] {
  forgetOldBalancers(state, nowMs);
  const { changes } = state;
  const current = isCurrent(state, nowMs);
  const hasChanges =
    changes.records.length > 0 ||
    changes.departures.length > 0 ||
    changes.listsChanged ||
    current !== state.wasCurrent;
  const isPulseDue = nowMs >= state.nextPulseAtMs;
  const effects: GroupEffect[] = [];
  for (const [linkId, subscriber] of state.subscribers) {
    const lacksConfig = (state.config?.version ?? 0) > subscriber.configVersion;
    if (subscriber.isNew || lacksConfig || hasChanges || isPulseDue) {
      const message = feedFor(state, subscriber, current, nowMs);
      effects.push({ type: 'send-feed', linkId, message });
    }
  }
  if (isPulseDue) {
    state.nextPulseAtMs = nowMs + state.options.timing.feedPulseIntervalMs;
  }
  state.wasCurrent = current;
  state.changes = noChanges();
  return effects;
}

function feedFor(
  state: GroupState,
  subscriber: Subscriber,
  current: boolean,
  nowMs: number,
): FeedMessage {
  const { changes, config } = state;
  const { isNew } = subscriber;
  const lacksConfig = config !== undefined && config.version > subscriber.configVersion;
  const records = isNew ? allRecords(state, nowMs) : changes.records;
  const departures = isNew ? state.replicated.allDepartures() : changes.departures;
  const withLists = isNew || changes.listsChanged;
  subscriber.isNew = false;
  if (lacksConfig) {
    subscriber.configVersion = config.version;
  }
  return {
    type: 'feed',
    isCurrent: current,
    ...(lacksConfig && { config }),
    ...(records.length > 0 && { records }),
    ...(departures.length > 0 && { departures }),
    ...(withLists && { balancers: allBalancers(state), controls: allControls(state) }),
  };
}

function allRecords(state: GroupState, nowMs: number): AgedRecord[] {
  return [...state.registry.all()].map(({ record, heardAtMs }) => ({
    record,
    ageMs: Math.round(nowMs - heardAtMs),
  }));
}

function allBalancers(state: GroupState): BalancerInfo[] {
  const own = [...state.subscribers.values()].map(({ balancer }) => balancer);
  const others = [...state.peerBalancers.values()].flatMap(({ balancers }) => balancers);
  return [...new Map([...own, ...others].map((info) => [info.name, info])).values()];
}

function allControls(state: GroupState): ControlInfo[] {
  const addresses = currentMembership(state.consensus).members.map(
    ({ linkAddress }) => linkAddress,
  );
  const byText = new Map(addresses.map((address) => [formatAddress(address), address]));
  return [...byText.values()].map((linkAddress) => ({ linkAddress }));
}

function forgetOldBalancers(state: GroupState, nowMs: number): void {
  for (const [sender, { heardAtMs }] of state.peerBalancers) {
    if (nowMs - heardAtMs > BALANCERS_LIFETIME_MS) {
      state.peerBalancers.delete(sender);
      state.changes.listsChanged = true;
    }
  }
}
