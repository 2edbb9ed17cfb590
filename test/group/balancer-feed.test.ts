/** @file What a control machine tells balancers: the whole once, then only what changes. */
import t from 'tap';
import type { LinkId } from '../../src/common/link-table.js';
import {
  addSubscriber,
  feedNewcomer,
  feedSubscribers,
  removeSubscriber,
} from '../../src/group/balancer-feed.js';
import type { GroupEffect } from '../../src/group/group-events.js';
import type { FeedMessage } from '../../src/group/group-messages.js';
import { isCurrent, type GroupState } from '../../src/group/group-state.js';
import { feedLoads, shareLoadSums } from '../../src/group/load-duties.js';
import { judgeBackends, takeRecord } from '../../src/group/registry-duties.js';
import { IngressWorld } from '../../src/sim/ingress/ingress-world.js';
import { smallIngressWorld } from '../../src/sim/ingress/world-parts.js';

const FORMATION_MS = 6_000;
const LONG_MS = 3_000;
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

function subscribe({ state, nowMs }: FormedGroup, linkId: LinkId, name: string): GroupEffect[] {
  const peerAddress = { host: '10.9.0.1', port: 7_700 };
  const balancer = { name, zone: 'zone-a', peerAddress };
  addSubscriber(state, linkId, { type: 'subscribe', balancer, configVersion: 0 });
  return feedNewcomer(state, linkId, nowMs);
}

function messagesTo(linkId: LinkId, effects: readonly GroupEffect[]): FeedMessage[] {
  return effects.flatMap((effect) =>
    effect.type === 'send-feed' && effect.linkId === linkId ? [effect.message] : [],
  );
}

t.test('a newcomer gets the whole state at once', async (t) => {
  const group = await formedGroup();
  const [message] = messagesTo(FIRST, subscribe(group, FIRST, 'first'));
  t.equal(message?.isWhole, true);
  t.equal(message?.isCurrent, true);
  t.equal(message?.records?.length, smallIngressWorld.backendCount);
  t.equal(message?.controls?.length, smallIngressWorld.controlCount);
  t.ok(message?.config !== undefined);
});

t.test('a heartbeat that says nothing new is not passed on, a silence is told once', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  feedSubscribers(state, nowMs);
  const [known] = [...state.registry.all()];
  if (known === undefined) {
    throw new Error('No back end.');
  }
  const record = { ...known.record, sequence: known.record.sequence + 1 };
  t.ok(takeRecord(state, { record, ageMs: 0 }, nowMs));
  t.same(messagesTo(FIRST, feedSubscribers(state, nowMs)), []);

  // The other back ends fall silent; the machine goes on hearing its leader.
  const laterMs = nowMs + LONG_MS;
  state.consensus.heardFromLeaderAtMs = laterMs;
  takeRecord(state, { record: { ...record, sequence: record.sequence + 1 }, ageMs: 0 }, laterMs);
  judgeBackends(state, laterMs);
  const [told] = messagesTo(FIRST, feedSubscribers(state, laterMs));
  t.equal(told?.records, undefined);
  t.equal(told?.judgements?.length, smallIngressWorld.backendCount - 1);
  t.same(new Set(told?.judgements?.map(({ liveness }) => liveness)), new Set(['silent']));
  judgeBackends(state, laterMs);
  t.same(messagesTo(FIRST, feedSubscribers(state, laterMs)), []);
});

t.test('whoever was fed while the machine was not current gets the whole again', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  const cutOffMs = nowMs + LONG_MS;
  t.notOk(isCurrent(state, cutOffMs));
  const [first] = messagesTo(FIRST, subscribe({ state, nowMs: cutOffMs }, FIRST, 'first'));
  t.equal(first?.isCurrent, false);
  state.consensus.heardFromLeaderAtMs = cutOffMs;
  const [second] = messagesTo(FIRST, feedSubscribers(state, cutOffMs));
  t.equal(second?.isWhole, true);
  t.equal(second?.isCurrent, true);
  const [third] = messagesTo(FIRST, feedSubscribers(state, cutOffMs + 1_000));
  t.equal(third?.isWhole, undefined, 'only once');
});

t.test('silence while the machine was cut off is not held against back ends', async (t) => {
  const { state, nowMs } = await formedGroup();
  const cutOffMs = nowMs + LONG_MS;
  judgeBackends(state, cutOffMs);
  state.consensus.heardFromLeaderAtMs = cutOffMs;
  judgeBackends(state, cutOffMs);
  t.same(state.changes.judgements, []);
  const { heartbeatIntervalMs } = state.options;
  const laterMs = cutOffMs + 2 * heartbeatIntervalMs;
  state.consensus.heardFromLeaderAtMs = laterMs;
  judgeBackends(state, laterMs);
  t.equal(state.changes.judgements.length, smallIngressWorld.backendCount, 'but later silence is');
});

t.test('balancers hear of those that come and go, not of all', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  feedSubscribers(state, nowMs);
  subscribe(group, SECOND, 'second');
  const [came] = messagesTo(FIRST, feedSubscribers(state, nowMs));
  t.same(
    came?.balancers?.map(({ name }) => name),
    ['second'],
  );
  removeSubscriber(state, SECOND);
  const [went] = messagesTo(FIRST, feedSubscribers(state, nowMs));
  t.same(went?.lostBalancers, ['second']);
  t.equal(went?.balancers, undefined);
});

t.test('each balancer is told the load of the others, once and not too often', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  subscribe(group, SECOND, 'second');
  state.loads.takeReport(FIRST, [7, 1]);
  state.loads.takeReport(SECOND, [7, 2]);
  const effects = feedLoads(state, nowMs);
  t.same(
    messagesTo(FIRST, effects).map(({ loads }) => loads),
    [[7, 2]],
  );
  t.same(
    messagesTo(SECOND, effects).map(({ loads }) => loads),
    [[7, 1]],
  );
  t.same(feedLoads(state, nowMs), [], 'nothing has changed');
  state.loads.takeReport(SECOND, [7, 3]);
  t.same(feedLoads(state, nowMs + 1), [], 'too soon');
  t.equal(messagesTo(FIRST, feedLoads(state, nowMs + 500)).length, 1);
});

t.test('the other control machines get sums, again after a second without a change', async (t) => {
  const group = await formedGroup();
  const { state, nowMs } = group;
  subscribe(group, FIRST, 'first');
  state.loads.takeReport(FIRST, [7, 1]);
  const others = smallIngressWorld.controlCount - 1;
  const startMs = nowMs + LONG_MS;
  t.equal(shareLoadSums(state, startMs).length, others);
  t.equal(shareLoadSums(state, startMs + 500).length, 0);
  t.equal(shareLoadSums(state, startMs + 1_000).length, others);
});
