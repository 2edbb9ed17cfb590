/** @file Membership: joining, detection, refutation, cuts, leaving, and what it costs. */
import fc from 'fast-check';
import t from 'tap';
import { decodeGossip, encodeGossip, gossipKey } from '../../../src/managed/gossip/gossip-codec.js';
import { supersedes, type MemberRecord } from '../../../src/managed/gossip/member.js';
import { liveBalancerCount } from '../../../src/managed/gossip/gossip-state.js';
import { chooseByRendezvous } from '../../../src/shared/common/rendezvous.js';
import { MembershipWorld } from './membership-world.js';

const MINUTE_MS = 60_000;
const MAX_DATAGRAM_BYTES = 1_200;

function settledWorld(zoneSizes: readonly number[], lossShare = 0): MembershipWorld {
  const world = new MembershipWorld(zoneSizes, lossShare);
  world.timeUntil(() => zoneSizes.every((_, zone) => world.isAgreed(`zone-${zone}`)), MINUTE_MS);
  return world;
}

t.test('a zone finds itself from one seed', async (t) => {
  const world = new MembershipWorld([30]);
  t.ok(world.timeUntil(() => world.isAgreed(), MINUTE_MS) < 20_000);
});

t.test('balancers of several zones know how many there are', async (t) => {
  const world = settledWorld([5, 4, 3]);
  const allKnow = () =>
    world.nodes.every(({ state }) => liveBalancerCount(state, world.network.nowMs) === 12);
  t.ok(world.timeUntil(allKnow, 2 * MINUTE_MS) < MINUTE_MS);
  world.node(1).isRunning = false;
  const othersKnow = () =>
    world.nodes
      .filter(({ isRunning }) => isRunning)
      .every(({ state }) => liveBalancerCount(state, world.network.nowMs) === 11);
  t.ok(world.timeUntil(othersKnow, 2 * MINUTE_MS) < 2 * MINUTE_MS);
});

t.test('a dead member is found out by all, within 15 s', async (t) => {
  const world = settledWorld([30]);
  world.node(3).isRunning = false;
  t.ok(world.timeUntil(() => world.isAgreed(), MINUTE_MS) < 15_000);
});

t.test('nobody is believed dead under 5 % loss', async (t) => {
  const world = settledWorld([30], 0.05);
  let deaths = 0;
  for (let second = 0; second < 600; second += 1) {
    world.run(1_000);
    deaths += world.nodes.filter(({ state }) =>
      [...state.list.members.values()].some(({ record }) => record.status === 'dead'),
    ).length;
  }
  t.equal(deaths, 0);
});

t.test('a member that was suspected refutes it by a new incarnation', async (t) => {
  const world = settledWorld([20]);
  const paused = world.node(3);
  const { id } = paused.state.options;
  paused.isRunning = false;
  world.timeUntil(() => world.beliefs(id).includes('suspect'), MINUTE_MS);
  paused.isRunning = true;
  world.run(2 * MINUTE_MS);
  t.ok(world.beliefs(id).every((belief) => belief === 'alive'));
  t.ok(paused.state.self.incarnation > 1);
});

t.test('two parts of a zone find together again without new deaths', async (t) => {
  const world = settledWorld([20]);
  world.nodes.slice(10).forEach((node) => (node.part = 1));
  world.run(MINUTE_MS);
  t.ok(world.beliefs('balancer-0').includes('dead'));
  world.nodes.forEach((node) => (node.part = 0));
  t.ok(world.timeUntil(() => world.isAgreed(), 2 * MINUTE_MS) < MINUTE_MS);
  world.run(MINUTE_MS);
  t.ok(world.isAgreed());
});

t.test('a member that leaves is not suspected, and comes back as a later run', async (t) => {
  const world = settledWorld([20]);
  const leaving = world.node(3);
  const { id } = leaving.state.options;
  world.step(leaving, { type: 'leave' });
  leaving.isRunning = false;
  t.ok(world.timeUntil(() => world.isAgreed(), MINUTE_MS) < 5_000);
  t.ok(world.beliefs(id).every((belief) => belief === 'left'));

  world.restart(leaving, 2);
  t.ok(world.timeUntil(() => world.isAgreed(), MINUTE_MS) < 10_000);
});

t.test('a member that comes back with an old incarnation takes a later one', async (t) => {
  const world = settledWorld([10]);
  const member = world.node(3);
  member.isRunning = false;
  world.timeUntil(() => world.isAgreed(), MINUTE_MS);
  world.restart(member, 1);
  t.ok(world.timeUntil(() => world.isAgreed(), MINUTE_MS) < 15_000);
});

t.test('the bytes of a member do not grow with the members', async (t) => {
  const bytesASecond = (zoneSizes: readonly number[]) => {
    const world = settledWorld(zoneSizes);
    world.run(MINUTE_MS);
    const before = world.nodes.reduce((sum, { sentBytes }) => sum + sentBytes, 0);
    world.run(MINUTE_MS);
    const after = world.nodes.reduce((sum, { sentBytes }) => sum + sentBytes, 0);
    t.ok(world.nodes.every(({ largestDatagram }) => largestDatagram <= MAX_DATAGRAM_BYTES));
    return (after - before) / world.nodes.length / 60;
  };
  const few = bytesASecond([5, 5]);
  const many = bytesASecond([60, 40]);
  t.comment(`${few} bytes a second of 10 members, ${many} of 100`);
  t.ok(many < few * 1.25, `${many} after ${few}`);
  t.ok(many < 1_000);
});

t.test('another cluster, and any garbage, is refused', async (t) => {
  const world = settledWorld([2]);
  const { self, options } = world.node(0).state;
  const message = {
    type: 'sync' as const,
    zone: options.zone,
    sender: self,
    updates: [self],
    zones: [{ zone: 'zone-1', version: 3, liveCount: 2, contacts: [self] }],
    wantsAnswer: true,
  };
  const key = gossipKey('test-cluster-key');
  const datagram = encodeGossip(message, key);
  t.match(decodeGossip(datagram, key)._unsafeUnwrap(), { updates: [self], wantsAnswer: true });
  const otherKey = gossipKey('other-cluster-key');
  t.equal(decodeGossip(datagram, otherKey)._unsafeUnwrapErr().kind, 'wrong-cluster');
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 60 }), (bytes) => decodeGossip(bytes, key).isErr()),
    { seed: 1 },
  );
});

t.test('of two records, exactly one counts, in whatever order they come', async () => {
  const record = fc.record({
    incarnation: fc.nat(2),
    status: fc.constantFrom('alive', 'suspect', 'dead', 'left'),
  });
  const asMember = (fields: Pick<MemberRecord, 'incarnation' | 'status'>): MemberRecord => ({
    id: 'balancer-1',
    host: '10.0.0.1',
    gossipPort: 1,
    linkPort: 2,
    ...fields,
  });
  fc.assert(
    fc.property(record, record, (one, other) => {
      const isSame = one.incarnation === other.incarnation && one.status === other.status;
      const oneWins = supersedes(asMember(one), asMember(other));
      const otherWins = supersedes(asMember(other), asMember(one));
      return isSame ? !oneWins && !otherWins : oneWins !== otherWins;
    }),
    { seed: 1 },
  );
});

t.test('a choice by rendezvous changes only where the lost one was chosen', async (t) => {
  const names = Array.from({ length: 30 }, (_, number) => `balancer-${number}`);
  const counts = new Map<string, number>();
  let moved = 0;
  for (let key = 0; key < 3_000; key += 1) {
    const chosen = chooseByRendezvous(`${key}`, names, 3);
    chosen.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
    const without = chooseByRendezvous(`${key}`, names.slice(1), 3);
    const kept = chosen.filter((name) => name !== names[0]);
    moved += kept.every((name) => without.includes(name)) ? 0 : 1;
  }
  t.equal(moved, 0);
  t.ok([...counts.values()].every((count) => count > 200 && count < 400));
});
