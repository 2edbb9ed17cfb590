/** @file Feeds to balancers: a full sync, then bounded updates; load sums and answer stats. */
import t from 'tap';
import type { LinkId } from '../../../src/shared/common/link-table.js';
import type { DeclaredConfig } from '../../../src/registered/declared/declared-config.js';
import { publishZoneChange } from '../../../src/registered/group/applied-entries.js';
import {
  addSubscriber,
  feedSubscriber,
  feedSubscribers,
  applyAcknowledgement,
  removeSubscriber,
} from '../../../src/registered/group/feed/balancer-feed.js';
import { removeSilentPeers } from '../../../src/registered/group/feed/balancer-list-exchange.js';
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
} from '../../../src/registered/group/feed/load-table-exchange.js';
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
/** Without contact for this long, back ends are suspect and a control machine is not current. */
const SILENCE_MS = 3_000;
const EXCHANGE_PERIOD_MS = 600;
const OLD_DEPARTURE_COUNT = 19_000;
const BACKEND_COUNT = 600;
/** Three for the registered back ends, the rest for old departures. */
const MAX_MESSAGES = 8;
const [FIRST_LINK, SECOND_LINK] = [9_001, 9_002].map((id) => id as LinkId) as [LinkId, LinkId];

interface FormedGroup {
  readonly state: GroupState;
  readonly nowMs: number;
}

/** A follower of a formed group, with all back ends registered and without subscribers. */
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
  return feedSubscriber(state, linkId, nowMs);
}

function messagesTo(linkId: LinkId, effects: readonly GroupEffect[]): FeedMessage[] {
  return effects.flatMap((effect) =>
    effect.type === 'send-feed' && effect.linkId === linkId ? [effect.message] : [],
  );
}

/** Acknowledges all messages sent so far, then feeds all balancers. */
function acknowledgeAndFeed(state: GroupState, nowMs: number): GroupEffect[] {
  for (const subscriber of state.subscribers.values()) {
    subscriber.countedApplied = subscriber.countedSent;
  }
  return feedSubscribers(state, nowMs);
}

t.test('a new subscriber gets a full sync at once', async (t) => {
  const group = await formedGroup();
  const [message] = messagesTo(FIRST_LINK, subscribe(group, FIRST_LINK, 'first'));
  t.equal(message?.transfer, 'whole');
  t.equal(message?.isCurrent, true);
  t.equal(message?.records?.length, smallIngressWorld.backendCount);
  t.equal(message?.controls?.length, smallIngressWorld.controlCount);
  t.ok(message?.config !== undefined);
  t.equal(message?.isComplete, true);
});

// Messages with equal plans are shared between balancers.
t.test('a balancer gets its own back ends, whatever characters their IDs have', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  for (const id of ['a', 'b', 'a b']) {
    applyHeartbeat(state, { record: recordOf(200 + id.length, { id }), ageMs: 0 }, nowMs);
  }
  for (const linkId of [FIRST_LINK, SECOND_LINK]) {
    subscribe(group, linkId, `balancer-${linkId}`);
  }
  acknowledgeAndFeed(state, nowMs);
  state.updates.take();
  const pendingOf = (linkId: LinkId) => state.subscribers.get(linkId)?.pendingUpdates.registered;
  ['a', 'b'].forEach((id) => pendingOf(FIRST_LINK)?.add(id));
  pendingOf(SECOND_LINK)?.add('a b');
  const effects = acknowledgeAndFeed(state, nowMs);
  const idsTo = (linkId: LinkId) =>
    messagesTo(linkId, effects).flatMap(({ records = [] }) =>
      records.map(({ record }) => record.id),
    );
  t.same([idsTo(FIRST_LINK), idsTo(SECOND_LINK)], [['a', 'b'], ['a b']]);
});

t.test('an unchanged heartbeat is not forwarded, and a silence is sent once', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST_LINK, 'first');
  acknowledgeAndFeed(state, nowMs);
  const [entry] = [...state.registry.all()];
  if (entry === undefined) {
    throw new Error('No back end.');
  }
  const record = { ...entry.record, sequence: entry.record.sequence + 1 };
  t.ok(applyHeartbeat(state, { record, ageMs: 0 }, nowMs));
  t.same(messagesTo(FIRST_LINK, acknowledgeAndFeed(state, nowMs)), []);

  // The other back ends fall silent while the leader stays in contact.
  const laterMs = nowMs + SILENCE_MS;
  state.consensus.leaderContactAtMs = laterMs;
  applyHeartbeat(
    state,
    { record: { ...record, sequence: record.sequence + 1 }, ageMs: 0 },
    laterMs,
  );
  updateLiveness(state, laterMs);
  const [update] = messagesTo(FIRST_LINK, acknowledgeAndFeed(state, laterMs));
  t.equal(update?.records, undefined);
  t.equal(update?.judgements?.length, smallIngressWorld.backendCount - 1);
  t.same(new Set(update?.judgements?.map(({ liveness }) => liveness)), new Set(['suspect']));
  updateLiveness(state, laterMs);
  t.same(messagesTo(FIRST_LINK, acknowledgeAndFeed(state, laterMs)), []);
});

t.test('a departure is never sent after its record, even with many old departures', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  const recordDeparture = (backendId: string) =>
    state.replicated.apply({
      type: 'note-departure',
      departure: { backendId, kind: 'draining' },
    });
  for (let number = 0; number < OLD_DEPARTURE_COUNT; number += 1) {
    recordDeparture(`departed-${number}`);
  }
  const [entry] = [...state.registry.all()];
  if (entry === undefined) {
    throw new Error('No back end.');
  }
  for (let number = 0; number < BACKEND_COUNT; number += 1) {
    const id = `registered-${number}`;
    const address = { host: '10.8.0.1', port: number + 1 };
    applyHeartbeat(state, { record: { ...entry.record, id, address }, ageMs: 0 }, nowMs);
  }
  const departedIds = Array.from(
    { length: BACKEND_COUNT / 2 },
    (_, index) => `registered-${2 * index + 1}`,
  );
  departedIds.forEach(recordDeparture);
  const messages = subscribeAndSync(group, FIRST_LINK);
  const indexOfMessage = (idsIn: (message: FeedMessage) => string[] | undefined, id: string) =>
    messages.findIndex((message) => idsIn(message)?.includes(id) === true);
  for (const id of departedIds) {
    const recordIndex = indexOfMessage(({ records }) => records?.map((aged) => aged.record.id), id);
    const departureIndex = indexOfMessage(
      ({ departures }) => departures?.map(({ backendId }) => backendId),
      id,
    );
    t.ok(
      departureIndex >= 0 && departureIndex <= recordIndex,
      `${id}: message ${departureIndex}, record ${recordIndex}`,
    );
  }
  t.ok(messages.length <= MAX_MESSAGES, `${messages.length} messages`);
});

/** @returns all messages of a full sync to a balancer that acknowledges each at once */
function subscribeAndSync(group: FormedGroup, linkId: LinkId): FeedMessage[] {
  const { state, nowMs } = group;
  const messages = messagesTo(linkId, subscribe(group, linkId, 'first'));
  const subscriber = state.subscribers.get(linkId);
  while (messages.at(-1)?.isComplete === false && subscriber !== undefined) {
    messages.push(
      ...messagesTo(linkId, applyAcknowledgement(state, linkId, subscriber.countedSent, nowMs)),
    );
  }
  return messages;
}

t.test('a full sync is repeated once the machine becomes current', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  const cutOffMs = nowMs + SILENCE_MS;
  t.notOk(isCurrent(state, cutOffMs));
  const [first] = messagesTo(
    FIRST_LINK,
    subscribe({ state, nowMs: cutOffMs }, FIRST_LINK, 'first'),
  );
  t.equal(first?.isCurrent, false);
  state.consensus.leaderContactAtMs = cutOffMs;
  const [second] = messagesTo(FIRST_LINK, acknowledgeAndFeed(state, cutOffMs));
  t.equal(second?.transfer, 'whole');
  t.equal(second?.isCurrent, true);
  const [third] = messagesTo(FIRST_LINK, acknowledgeAndFeed(state, cutOffMs + 1_000));
  t.equal(third?.transfer, undefined, 'only once');
});

t.test('back ends do not become suspect for silence while the machine was cut off', async (t) => {
  const { state, nowMs } = await formedGroup();
  const cutOffMs = nowMs + SILENCE_MS;
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
    'later silence counts',
  );
});

t.test('only added and removed balancers are sent, not the whole list', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST_LINK, 'first');
  acknowledgeAndFeed(state, nowMs);
  subscribe(group, SECOND_LINK, 'second');
  const [afterSubscription] = messagesTo(FIRST_LINK, acknowledgeAndFeed(state, nowMs));
  t.same(
    afterSubscription?.balancers?.map(({ name }) => name),
    ['second'],
  );
  removeSubscriber(state, SECOND_LINK);
  const [afterRemoval] = messagesTo(FIRST_LINK, acknowledgeAndFeed(state, nowMs));
  t.same(afterRemoval?.lostBalancers, ['second']);
  t.equal(afterRemoval?.balancers, undefined);
});

t.test('each balancer gets throttled load sums of the others', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST_LINK, 'first');
  subscribe(group, SECOND_LINK, 'second');
  state.loads.totals.applyReport(FIRST_LINK, [7, 1]);
  state.loads.totals.applyReport(SECOND_LINK, [7, 2]);
  const effects = publishLoads(state, nowMs);
  t.same(
    messagesTo(FIRST_LINK, effects).map(({ loads }) => loads),
    [[7, 2]],
  );
  t.same(
    messagesTo(SECOND_LINK, effects).map(({ loads }) => loads),
    [[7, 1]],
  );
  t.same(publishLoads(state, nowMs), [], 'unchanged');
  state.loads.totals.applyReport(SECOND_LINK, [7, 3]);
  t.same(publishLoads(state, nowMs + 1), [], 'throttled');
  t.equal(messagesTo(FIRST_LINK, publishLoads(state, nowMs + 500)).length, 1);
});

t.test('unchanged sums are sent to the other control machines again after a second', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST_LINK, 'first');
  state.loads.totals.applyReport(FIRST_LINK, [7, 1]);
  const others = smallIngressWorld.controlCount - 1;
  const startMs = nowMs + SILENCE_MS;
  t.equal(shareLoadSums(state, startMs).length, others);
  t.equal(shareLoadSums(state, startMs + 500).length, 0);
  t.equal(shareLoadSums(state, startMs + 1_000).length, others);
});

function configWith(version: number, routeCount: number): DeclaredConfig {
  return {
    version,
    routes: Array.from({ length: routeCount }, (_, index) => ({
      name: `route-${index}`,
      host: '198.18.0.1',
      port: 1_000 + index,
      targets: [{ service: 'alpha', weight: 1 }],
      kind: 'repeatable',
      timeoutMs: 1_000,
    })),
    services: [{ name: 'alpha' }],
    idleTimeoutMs: 15_000,
  };
}

t.test('without acknowledgements a balancer gets two messages, then keep-alives', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  state.configs.apply(configWith(100, 5_000));
  const sent = messagesTo(FIRST_LINK, subscribe(group, FIRST_LINK, 'first'));
  t.equal(sent.length, 2);
  t.ok(sent.every(({ isComplete }) => !isComplete));
  t.same(
    messagesTo(FIRST_LINK, feedSubscribers(state, nowMs + SILENCE_MS)).length,
    1,
    'a keep-alive',
  );
  const [third] = messagesTo(FIRST_LINK, applyAcknowledgement(state, FIRST_LINK, 1, nowMs));
  t.equal(third?.config?.firstChange, 2_000);
});

t.test('a large configuration is sent in bounded parts, each change once', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  state.configs.apply(configWith(100, 4_500));
  const sent = messagesTo(FIRST_LINK, subscribe(group, FIRST_LINK, 'first'));
  for (let acknowledged = 1; acknowledged <= 10; acknowledged += 1) {
    sent.push(
      ...messagesTo(FIRST_LINK, applyAcknowledgement(state, FIRST_LINK, acknowledged, nowMs)),
    );
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

t.test('a partly received update resumes from another control machine', async (t) => {
  const { state, nowMs } = await formedGroup();
  state.configs.apply(configWith(100, 1_500));
  const unfinished = { version: 100, baseVersion: 0, changesTaken: 1_000 };
  addSubscriber(state, FIRST_LINK, { ...subscription('first'), unfinished });
  const [first] = messagesTo(FIRST_LINK, feedSubscriber(state, FIRST_LINK, nowMs));
  t.equal(first?.config?.firstChange, 1_000);
  t.equal(first?.config?.changes.length, 500);
  addSubscriber(state, SECOND_LINK, {
    ...subscription('second'),
    unfinished: { ...unfinished, version: 99 },
  });
  const [other] = messagesTo(SECOND_LINK, feedSubscriber(state, SECOND_LINK, nowMs));
  t.equal(other?.config?.firstChange, 0, 'not for another version');
});

t.test('a slow balancer gets the newest configuration without intermediate versions', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  state.configs.apply(configWith(100, 10));
  subscribe(group, FIRST_LINK, 'first');
  const subscriber = state.subscribers.get(FIRST_LINK);
  if (subscriber === undefined) {
    throw new Error('No subscriber.');
  }
  subscriber.countedSent += 1;
  for (let version = 101; version <= 120; version += 1) {
    state.configs.apply(configWith(version, version - 90));
    t.same(
      messagesTo(FIRST_LINK, feedSubscribers(state, nowMs)).filter(
        ({ config }) => config !== undefined,
      ),
      [],
      'nothing while the window is full',
    );
  }
  const [message] = messagesTo(FIRST_LINK, applyAcknowledgement(state, FIRST_LINK, 2, nowMs));
  t.equal(message?.config?.version, 120);
  t.equal(message?.config?.baseVersion, 100);
  t.equal(message?.config?.changes.length, 20, 'only the changes');
  t.equal(message?.isComplete, true);
});

t.test('updates for a slow balancer merge and do not delay other balancers', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST_LINK, 'first');
  subscribe(group, SECOND_LINK, 'second');
  acknowledgeAndFeed(state, nowMs);
  const slow = state.subscribers.get(FIRST_LINK);
  const fast = state.subscribers.get(SECOND_LINK);
  const [entry] = [...state.registry.all()];
  if (slow === undefined || fast === undefined || entry === undefined) {
    throw new Error('No subscriber or back end.');
  }
  for (let change = 1; change <= 5; change += 1) {
    const { sequence, capacity } = entry.record;
    const record = {
      ...entry.record,
      sequence: sequence + change,
      capacity: capacity + change,
    };
    applyHeartbeat(state, { record, ageMs: 0 }, nowMs);
    fast.countedApplied = fast.countedSent;
    slow.countedSent = slow.countedApplied + 2;
    const effects = feedSubscribers(state, nowMs);
    t.equal(messagesTo(SECOND_LINK, effects)[0]?.records?.[0]?.record.sequence, sequence + change);
    t.same(messagesTo(FIRST_LINK, effects), []);
  }
  const [update] = messagesTo(
    FIRST_LINK,
    applyAcknowledgement(state, FIRST_LINK, slow.countedSent, nowMs),
  );
  t.equal(update?.records?.length, 1);
  t.equal(update?.records?.[0]?.record.sequence, entry.record.sequence + 5);
});

t.test('balancers with the same pending updates share one message', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST_LINK, 'first');
  subscribe(group, SECOND_LINK, 'second');
  acknowledgeAndFeed(state, nowMs);
  const [entry] = [...state.registry.all()];
  if (entry === undefined) {
    throw new Error('No back end.');
  }
  const record = { ...entry.record, sequence: entry.record.sequence + 1, capacity: 7 };
  applyHeartbeat(state, { record, ageMs: 0 }, nowMs);
  const effects = acknowledgeAndFeed(state, nowMs);
  t.equal(
    messagesTo(FIRST_LINK, effects)[0],
    messagesTo(SECOND_LINK, effects)[0],
    'the same object',
  );
});

t.test(
  'control machines are sent with their zones, without them once they are silent',
  async (t) => {
    const group = await formedGroup();
    const { state, nowMs } = group;
    const zonesIn = (message: FeedMessage | undefined) =>
      message?.controls?.flatMap(({ zone }) => zone ?? []) ?? [];
    const [first] = messagesTo(FIRST_LINK, subscribe(group, FIRST_LINK, 'first'));
    t.equal(zonesIn(first).length, smallIngressWorld.controlCount);
    const laterMs = nowMs + 5_000;
    removeSilentPeers(state, laterMs);
    applyAcknowledgement(state, FIRST_LINK, 9, laterMs);
    const [second] = messagesTo(FIRST_LINK, feedSubscribers(state, laterMs));
    t.same(zonesIn(second), [state.options.zone], 'only the local zone');
  },
);

t.test('a full sync begins with the evacuated zones, before any placement', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  state.replicated.zones.apply({ zone: 'zone-a', kind: 'evacuate', afterOrders: 0 });
  for (let number = 1; number <= BACKEND_COUNT; number += 1) {
    const record = recordOf(number, { id: `many-${number}` });
    applyHeartbeat(state, { record, ageMs: 0 }, nowMs);
  }
  const [first] = messagesTo(FIRST_LINK, subscribe(group, FIRST_LINK, 'first'));
  t.equal(first?.transfer, 'begins', 'not the only message');
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
  t.equal(balancer.feedStatus.firstCurrentAtMs, undefined, 'no placement yet');
});

t.test('an order for a zone is sent to all balancers with the next tick', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST_LINK, 'first');
  acknowledgeAndFeed(state, nowMs);
  const order = { zone: 'zone-b', kind: 'evacuate', afterOrders: 0 } as const;
  state.replicated.zones.apply(order);
  publishZoneChange(state, state.replicated.zones.statusOf('zone-b'), nowMs);
  const [evacuated] = messagesTo(FIRST_LINK, acknowledgeAndFeed(state, nowMs));
  t.match(evacuated?.zones, [{ zone: 'zone-b', isEvacuated: true, orders: 1 }]);
  state.replicated.zones.apply({ ...order, kind: 'readmit', afterOrders: 1 });
  publishZoneChange(state, state.replicated.zones.statusOf('zone-b'), nowMs);
  const [readmitted] = messagesTo(FIRST_LINK, acknowledgeAndFeed(state, nowMs + 30));
  t.match(readmitted?.zones, [{ isEvacuated: false, orders: 2, readmittedAgoMs: 30 }]);
});

t.test('answer stats of one balancer reach the other balancers and control machines', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST_LINK, 'first');
  subscribe(group, SECOND_LINK, 'second');
  acknowledgeAndFeed(state, nowMs);
  const token = 77;
  const stats: AnswerStats = { stalled: 1, answered: 2.5, answerMs: 75, short: 0.5 };
  const signals = packAnswerStats([[token, stats]]);
  applyLoadReport(state, FIRST_LINK, { type: 'load-report', loads: [token, 1], signals });
  state.subscribers.forEach((subscriber) => {
    subscriber.countedApplied = subscriber.countedSent;
  });
  const effects = publishLoads(state, nowMs);
  const [toFirst] = messagesTo(FIRST_LINK, effects);
  const [toSecond] = messagesTo(SECOND_LINK, effects);
  t.same(toFirst?.signals ?? [], [], 'not its own stats');
  t.same(toSecond?.signals, signals);
  const [shared] = shareLoadSums(state, nowMs);
  t.match(shared, { message: { type: 'load-sums', signals } });

  const sender = { host: '10.8.0.1', port: 7_700 };
  applyLoadSums(state, { type: 'load-sums', sender, loads: [], signals }, nowMs);
  const laterMs = nowMs + EXCHANGE_PERIOD_MS;
  const [summedMessage] = messagesTo(SECOND_LINK, publishLoads(state, laterMs));
  const summed: Record<number, AnswerStats> = {};
  eachAnswerStats(summedMessage?.signals ?? [], (backendToken, values) => {
    summed[backendToken] = values;
  });
  t.same(summed[token], { stalled: 2, answered: 5, answerMs: 150, short: 1 });

  removeSubscriber(state, FIRST_LINK);
  const [afterRemoval] = messagesTo(SECOND_LINK, publishLoads(state, laterMs + EXCHANGE_PERIOD_MS));
  t.same(afterRemoval?.signals, signals, 'the stats of a balancer end with its link');
});
