/** @file What a control machine tells balancers: the whole once, then only what changes. */
import t from 'tap';
import type { LinkId } from '../../../src/shared/common/link-table.js';
import type { DeclaredConfig } from '../../../src/registered/declared/declared-config.js';
import { publishZoneChange } from '../../../src/registered/group/applied-entries.js';
import {
  addSubscriber,
  feedOne,
  feedSubscribers,
  applyFeedTaken,
  removeSubscriber,
} from '../../../src/registered/group/feed/balancer-feed.js';
import { forgetSilentPeers } from '../../../src/registered/group/feed/balancer-list-duties.js';
import type { GroupEffect } from '../../../src/registered/group/group-events.js';
import type {
  FeedMessage,
  SubscribeMessage,
} from '../../../src/registered/group/group-messages.js';
import type { GroupState } from '../../../src/registered/group/group-state.js';
import { applyHeartbeat } from '../../../src/registered/group/backends/heartbeats.js';
import { isCurrent } from '../../../src/registered/group/leadership.js';
import { updateLiveness } from '../../../src/registered/group/backends/liveness-updates.js';
import {
  publishLoads,
  shareLoadSums,
  applyLoadReport,
  applyLoadSums,
} from '../../../src/registered/group/feed/load-duties.js';
import {
  eachAnswerStats,
  packAnswerStats,
  type AnswerStats,
} from '../../../src/registered/load-exchange/answer-stats.js';
import { widestTiming } from '../../../src/registered/group/timing.js';
import { applyFeedMessage } from '../../../src/registered/ingress/feed-step.js';
import { createIngressState, isReady } from '../../../src/registered/ingress/ingress-state.js';
import { defaultSwitches } from '../../../src/registered/decisions/mechanism-switches.js';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';
import { recordOf } from '../decisions/backend-records.js';

const FORMATION_MS = 6_000;
const LONG_MS = 3_000;
const EXCHANGE_MS = 600;
const DEPARTURES_OF_WEEKS = 19_000;
const BACKENDS = 600;
/** Three for the back ends, and no more than a few for what left before. */
const MOST_MESSAGES = 8;
const [FIRST, SECOND] = [9_001, 9_002].map((id) => id as LinkId) as [LinkId, LinkId];

interface FormedGroup {
  readonly state: GroupState;
  readonly nowMs: number;
}

/** A follower of a group that has formed, with all back ends known and no balancer but those of a test. */
async function formedGroup(): Promise<FormedGroup> {
  const world = new IngressWorld(1, smallIngressWorld);
  world.start();
  await world.run(FORMATION_MS);
  const states = world.controls.flatMap(({ process }) => process?.state ?? []);
  const state = states.find(({ consensus }) => consensus.role.name === 'follower');
  if (state === undefined) {
    throw new Error('No follower.');
  }
  state.subscribers.clear();
  return { state, nowMs: world.clock.nowMs };
}

function subscription(name: string): SubscribeMessage {
  const peerAddress = { host: '10.9.0.1', port: 7_700 };
  const balancer = { name, zone: 'zone-a', peerAddress };
  return { type: 'subscribe', balancer, configVersion: 0 };
}

function subscribe({ state, nowMs }: FormedGroup, linkId: LinkId, name: string): GroupEffect[] {
  addSubscriber(state, linkId, subscription(name));
  return feedOne(state, linkId, nowMs);
}

function messagesTo(linkId: LinkId, effects: readonly GroupEffect[]): FeedMessage[] {
  return effects.flatMap((effect) =>
    effect.type === 'send-feed' && effect.linkId === linkId ? [effect.message] : [],
  );
}

/** Feeds balancers that have taken all that they were sent. */
function feedWilling(state: GroupState, nowMs: number): GroupEffect[] {
  for (const subscriber of state.subscribers.values()) {
    subscriber.countedApplied = subscriber.countedSent;
  }
  return feedSubscribers(state, nowMs);
}

t.test('a newcomer gets the whole state at once', async (t) => {
  const group = await formedGroup();
  const [message] = messagesTo(FIRST, subscribe(group, FIRST, 'first'));
  t.equal(message?.transfer, 'whole');
  t.equal(message?.isCurrent, true);
  t.equal(message?.records?.length, smallIngressWorld.backendCount);
  t.equal(message?.controls?.length, smallIngressWorld.controlCount);
  t.ok(message?.config !== undefined);
  t.equal(message?.isComplete, true);
});

t.test('a heartbeat that says nothing new is not passed on, a silence is told once', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  feedWilling(state, nowMs);
  const [known] = [...state.registry.all()];
  if (known === undefined) {
    throw new Error('No back end.');
  }
  const record = { ...known.record, sequence: known.record.sequence + 1 };
  t.ok(applyHeartbeat(state, { record, ageMs: 0 }, nowMs));
  t.same(messagesTo(FIRST, feedWilling(state, nowMs)), []);

  // The other back ends fall silent; the machine goes on hearing its leader.
  const laterMs = nowMs + LONG_MS;
  state.consensus.leaderContactAtMs = laterMs;
  applyHeartbeat(
    state,
    { record: { ...record, sequence: record.sequence + 1 }, ageMs: 0 },
    laterMs,
  );
  updateLiveness(state, laterMs);
  const [told] = messagesTo(FIRST, feedWilling(state, laterMs));
  t.equal(told?.records, undefined);
  t.equal(told?.judgements?.length, smallIngressWorld.backendCount - 1);
  t.same(new Set(told?.judgements?.map(({ liveness }) => liveness)), new Set(['suspect']));
  updateLiveness(state, laterMs);
  t.same(messagesTo(FIRST, feedWilling(state, laterMs)), []);
});

t.test('a departure never comes after its record, however many there were before', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  const depart = (backendId: string) =>
    state.replicated.apply({
      type: 'note-departure',
      departure: { backendId, kind: 'draining' },
    });
  for (let number = 0; number < DEPARTURES_OF_WEEKS; number += 1) {
    depart(`left-${number}`);
  }
  const [known] = [...state.registry.all()];
  if (known === undefined) {
    throw new Error('No back end.');
  }
  for (let number = 0; number < BACKENDS; number += 1) {
    const id = `here-${number}`;
    const address = { host: '10.8.0.1', port: number + 1 };
    applyHeartbeat(state, { record: { ...known.record, id, address }, ageMs: 0 }, nowMs);
  }
  const leaving = Array.from({ length: BACKENDS / 2 }, (_, index) => `here-${2 * index + 1}`);
  leaving.forEach(depart);
  const messages = subscribeUntilTold(group, FIRST);
  const messageOf = (names: (message: FeedMessage) => string[] | undefined, id: string) =>
    messages.findIndex((message) => names(message)?.includes(id) === true);
  for (const id of leaving) {
    const record = messageOf(({ records }) => records?.map((aged) => aged.record.id), id);
    const departure = messageOf(
      ({ departures }) => departures?.map(({ backendId }) => backendId),
      id,
    );
    t.ok(departure >= 0 && departure <= record, `${id}: message ${departure}, record ${record}`);
  }
  t.ok(messages.length <= MOST_MESSAGES, `${messages.length} messages`);
});

/** @returns all messages of a transfer to a balancer that takes each at once */
function subscribeUntilTold(group: FormedGroup, linkId: LinkId): FeedMessage[] {
  const { state, nowMs } = group;
  const messages = messagesTo(linkId, subscribe(group, linkId, 'first'));
  const subscriber = state.subscribers.get(linkId);
  while (messages.at(-1)?.isComplete === false && subscriber !== undefined) {
    messages.push(
      ...messagesTo(linkId, applyFeedTaken(state, linkId, subscriber.countedSent, nowMs)),
    );
  }
  return messages;
}

t.test('whoever was fed while the machine was not current gets the whole again', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  const cutOffMs = nowMs + LONG_MS;
  t.notOk(isCurrent(state, cutOffMs));
  const [first] = messagesTo(FIRST, subscribe({ state, nowMs: cutOffMs }, FIRST, 'first'));
  t.equal(first?.isCurrent, false);
  state.consensus.leaderContactAtMs = cutOffMs;
  const [second] = messagesTo(FIRST, feedWilling(state, cutOffMs));
  t.equal(second?.transfer, 'whole');
  t.equal(second?.isCurrent, true);
  const [third] = messagesTo(FIRST, feedWilling(state, cutOffMs + 1_000));
  t.equal(third?.transfer, undefined, 'only once');
});

t.test('silence while the machine was cut off is not held against back ends', async (t) => {
  const { state, nowMs } = await formedGroup();
  const cutOffMs = nowMs + LONG_MS;
  updateLiveness(state, cutOffMs);
  state.consensus.leaderContactAtMs = cutOffMs;
  updateLiveness(state, cutOffMs);
  t.same([...state.updates.collected.livenessChanged], []);
  const { heartbeatIntervalMs } = state.options;
  const laterMs = cutOffMs + 2 * heartbeatIntervalMs;
  state.consensus.leaderContactAtMs = laterMs;
  updateLiveness(state, laterMs);
  t.equal(
    state.updates.collected.livenessChanged.size,
    smallIngressWorld.backendCount,
    'but later silence is',
  );
});

t.test('balancers hear of those that come and go, not of all', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  feedWilling(state, nowMs);
  subscribe(group, SECOND, 'second');
  const [came] = messagesTo(FIRST, feedWilling(state, nowMs));
  t.same(
    came?.balancers?.map(({ name }) => name),
    ['second'],
  );
  removeSubscriber(state, SECOND);
  const [went] = messagesTo(FIRST, feedWilling(state, nowMs));
  t.same(went?.lostBalancers, ['second']);
  t.equal(went?.balancers, undefined);
});

t.test('each balancer is told the load of the others, once and not too often', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  subscribe(group, SECOND, 'second');
  state.loads.totals.applyReport(FIRST, [7, 1]);
  state.loads.totals.applyReport(SECOND, [7, 2]);
  const effects = publishLoads(state, nowMs);
  t.same(
    messagesTo(FIRST, effects).map(({ loads }) => loads),
    [[7, 2]],
  );
  t.same(
    messagesTo(SECOND, effects).map(({ loads }) => loads),
    [[7, 1]],
  );
  t.same(publishLoads(state, nowMs), [], 'nothing has changed');
  state.loads.totals.applyReport(SECOND, [7, 3]);
  t.same(publishLoads(state, nowMs + 1), [], 'too soon');
  t.equal(messagesTo(FIRST, publishLoads(state, nowMs + 500)).length, 1);
});

t.test('the other control machines get sums, again after a second without a change', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  state.loads.totals.applyReport(FIRST, [7, 1]);
  const others = smallIngressWorld.controlCount - 1;
  const startMs = nowMs + LONG_MS;
  t.equal(shareLoadSums(state, startMs).length, others);
  t.equal(shareLoadSums(state, startMs + 500).length, 0);
  t.equal(shareLoadSums(state, startMs + 1_000).length, others);
});

function configWith(version: number, routeCount: number): DeclaredConfig {
  return {
    version,
    routes: Array.from({ length: routeCount }, (_, at) => ({
      name: `route-${at}`,
      host: '198.18.0.1',
      port: 1_000 + at,
      targets: [{ service: 'alpha', weight: 1 }],
      kind: 'repeatable',
      timeoutMs: 1_000,
    })),
    services: [{ name: 'alpha' }],
    idleTimeoutMs: 15_000,
  };
}

t.test('a balancer that takes nothing is sent two messages and no more', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  state.configs.apply(configWith(100, 5_000));
  const sent = messagesTo(FIRST, subscribe(group, FIRST, 'first'));
  t.equal(sent.length, 2);
  t.ok(sent.every(({ isComplete }) => !isComplete));
  t.same(messagesTo(FIRST, feedSubscribers(state, nowMs + LONG_MS)).length, 1, 'but a pulse');
  const [third] = messagesTo(FIRST, applyFeedTaken(state, FIRST, 1, nowMs));
  t.equal(third?.config?.firstChange, 2_000);
});

t.test('a large configuration comes in bounded parts, each change once', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  state.configs.apply(configWith(100, 4_500));
  const sent = messagesTo(FIRST, subscribe(group, FIRST, 'first'));
  for (let taken = 1; taken <= 10; taken += 1) {
    sent.push(...messagesTo(FIRST, applyFeedTaken(state, FIRST, taken, nowMs)));
  }
  const ports = sent.flatMap(({ config }) => config?.changes.map(({ port }) => port) ?? []);
  t.equal(ports.length, 4_500);
  t.equal(new Set(ports).size, 4_500);
  t.ok(sent.every(({ config }) => (config?.changes.length ?? 0) <= 1_000));
  t.same(
    sent.map(({ isComplete }) => isComplete),
    [false, false, false, false, true],
    'complete with the last part',
  );
});

t.test('whoever got some of a configuration goes on from there with another machine', async (t) => {
  const { state, nowMs } = await formedGroup();
  state.configs.apply(configWith(100, 1_500));
  const unfinished = { version: 100, baseVersion: 0, changesTaken: 1_000 };
  addSubscriber(state, FIRST, { ...subscription('first'), unfinished });
  const [first] = messagesTo(FIRST, feedOne(state, FIRST, nowMs));
  t.equal(first?.config?.firstChange, 1_000);
  t.equal(first?.config?.changes.length, 500);
  addSubscriber(state, SECOND, {
    ...subscription('second'),
    unfinished: { ...unfinished, version: 99 },
  });
  const [other] = messagesTo(SECOND, feedOne(state, SECOND, nowMs));
  t.equal(other?.config?.firstChange, 0, 'of another version it is worth nothing');
});

t.test('a balancer that is behind gets the newest configuration, not those between', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  state.configs.apply(configWith(100, 10));
  subscribe(group, FIRST, 'first');
  const held = state.subscribers.get(FIRST);
  if (held === undefined) {
    throw new Error('No subscriber.');
  }
  held.countedSent += 1;
  for (let version = 101; version <= 120; version += 1) {
    state.configs.apply(configWith(version, version - 90));
    t.same(
      messagesTo(FIRST, feedSubscribers(state, nowMs)).filter(({ config }) => config !== undefined),
      [],
      'nothing while it takes nothing',
    );
  }
  const [message] = messagesTo(FIRST, applyFeedTaken(state, FIRST, 2, nowMs));
  t.equal(message?.config?.version, 120);
  t.equal(message?.config?.baseVersion, 100);
  t.equal(message?.config?.changes.length, 20, 'only what changed');
  t.equal(message?.isComplete, true);
});

t.test('news for a balancer that is behind merge, and hold up nobody else', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  subscribe(group, SECOND, 'second');
  feedWilling(state, nowMs);
  const slow = state.subscribers.get(FIRST);
  const quick = state.subscribers.get(SECOND);
  const [known] = [...state.registry.all()];
  if (slow === undefined || quick === undefined || known === undefined) {
    throw new Error('No subscriber or back end.');
  }
  for (let change = 1; change <= 5; change += 1) {
    const { sequence, capacity } = known.record;
    const record = {
      ...known.record,
      sequence: sequence + change,
      capacity: capacity + change,
    };
    applyHeartbeat(state, { record, ageMs: 0 }, nowMs);
    quick.countedApplied = quick.countedSent;
    slow.countedSent = slow.countedApplied + 2;
    const effects = feedSubscribers(state, nowMs);
    t.equal(messagesTo(SECOND, effects)[0]?.records?.[0]?.record.sequence, sequence + change);
    t.same(messagesTo(FIRST, effects), []);
  }
  const [told] = messagesTo(FIRST, applyFeedTaken(state, FIRST, slow.countedSent, nowMs));
  t.equal(told?.records?.length, 1);
  t.equal(told?.records?.[0]?.record.sequence, known.record.sequence + 5);
});

t.test('balancers that lack the same get one message', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  subscribe(group, SECOND, 'second');
  feedWilling(state, nowMs);
  const [known] = [...state.registry.all()];
  if (known === undefined) {
    throw new Error('No back end.');
  }
  const record = { ...known.record, sequence: known.record.sequence + 1, capacity: 7 };
  applyHeartbeat(state, { record, ageMs: 0 }, nowMs);
  const effects = feedWilling(state, nowMs);
  t.equal(messagesTo(FIRST, effects)[0], messagesTo(SECOND, effects)[0], 'the same object');
});

t.test(
  'control machines are named with their zones, without it once they are silent',
  async (t) => {
    const group = await formedGroup();
    const { state, nowMs } = group;
    const zones = (message: FeedMessage | undefined) =>
      message?.controls?.flatMap(({ zone }) => zone ?? []) ?? [];
    const [first] = messagesTo(FIRST, subscribe(group, FIRST, 'first'));
    t.equal(zones(first).length, smallIngressWorld.controlCount);
    const laterMs = nowMs + 5_000;
    forgetSilentPeers(state, laterMs);
    applyFeedTaken(state, FIRST, 9, laterMs);
    const [second] = messagesTo(FIRST, feedSubscribers(state, laterMs));
    t.same(zones(second), [state.options.zone], 'only its own');
  },
);

t.test('a newcomer hears first which zones are evacuated, and places nothing before', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  state.replicated.zones.apply({ zone: 'zone-a', kind: 'evacuate', afterOrders: 0 });
  for (let number = 1; number <= BACKENDS; number += 1) {
    const record = recordOf(number, { id: `many-${number}` });
    applyHeartbeat(state, { record, ageMs: 0 }, nowMs);
  }
  const [first] = messagesTo(FIRST, subscribe(group, FIRST, 'first'));
  t.equal(first?.transfer, 'begins', 'more is to come');
  t.match(first?.zones, [{ zone: 'zone-a', isEvacuated: true, orders: 1 }]);
  const balancer = createIngressState({
    name: 'first',
    zone: 'zone-a',
    heartbeatIntervalMs: smallIngressWorld.heartbeatIntervalMs,
    flowLifetimeMs: smallIngressWorld.flowLifetimeMs,
    feed: widestTiming.feed,
    maxCountedFlows: 10,
    switches: defaultSwitches,
  });
  t.notOk(isReady(balancer));
  if (first !== undefined) {
    applyFeedMessage(balancer, first, nowMs);
  }
  t.ok(balancer.zones.isEvacuated('zone-a'));
  t.equal(balancer.feedStatus.firstCurrentAtMs, undefined, 'it does not place yet');
});

t.test('an order for a zone is told to all with the next tick', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  feedWilling(state, nowMs);
  const order = { zone: 'zone-b', kind: 'evacuate', afterOrders: 0 } as const;
  state.replicated.zones.apply(order);
  publishZoneChange(state, state.replicated.zones.statusOf('zone-b'), nowMs);
  const [told] = messagesTo(FIRST, feedWilling(state, nowMs));
  t.match(told?.zones, [{ zone: 'zone-b', isEvacuated: true, orders: 1 }]);
  state.replicated.zones.apply({ ...order, kind: 'readmit', afterOrders: 1 });
  publishZoneChange(state, state.replicated.zones.statusOf('zone-b'), nowMs);
  const [again] = messagesTo(FIRST, feedWilling(state, nowMs + 30));
  t.match(again?.zones, [{ isEvacuated: false, orders: 2, readmittedAgoMs: 30 }]);
});

t.test(
  'what back ends show at one balancer reaches the others, and the other machines',
  async (t) => {
    const group = await formedGroup();
    const { state, nowMs } = group;
    subscribe(group, FIRST, 'first');
    subscribe(group, SECOND, 'second');
    feedWilling(state, nowMs);
    const token = 77;
    const told: AnswerStats = { stalled: 1, answered: 2.5, answerMs: 75, short: 0.5 };
    const signals = packAnswerStats([[token, told]]);
    applyLoadReport(state, FIRST, { type: 'load-report', loads: [token, 1], signals });
    state.subscribers.forEach((subscriber) => {
      subscriber.countedApplied = subscriber.countedSent;
    });
    const effects = publishLoads(state, nowMs);
    const [toFirst] = messagesTo(FIRST, effects);
    const [toSecond] = messagesTo(SECOND, effects);
    t.same(toFirst?.signals ?? [], [], 'its own are not told back');
    t.same(toSecond?.signals, signals);
    const [shared] = shareLoadSums(state, nowMs);
    t.match(shared, { message: { type: 'load-sums', signals } });

    const sender = { host: '10.8.0.1', port: 7_700 };
    applyLoadSums(state, { type: 'load-sums', sender, loads: [], signals }, nowMs);
    const laterMs = nowMs + EXCHANGE_MS;
    const [both] = messagesTo(SECOND, publishLoads(state, laterMs));
    const summed: Record<number, AnswerStats> = {};
    eachAnswerStats(both?.signals ?? [], (of, one) => {
      summed[of] = one;
    });
    t.same(summed[token], { stalled: 2, answered: 5, answerMs: 150, short: 1 });

    removeSubscriber(state, FIRST);
    const [left] = messagesTo(SECOND, publishLoads(state, laterMs + EXCHANGE_MS));
    t.same(left?.signals, signals, 'what a balancer told ends with its link');
  },
);
