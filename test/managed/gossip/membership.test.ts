/** @file Guards gossip membership: joining, failure detection, refutation, partitions, leaving and traffic per member. */
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
  world.timeUntil(
    () => zoneSizes.every((_, zone) => world.hasConverged(`zone-${zone}`)),
    MINUTE_MS,
  );
  return world;
}

t.test('the members of a zone discover each other from one seed', async (t) => {
  const world = new MembershipWorld([30]);
  t.ok(world.timeUntil(() => world.hasConverged(), MINUTE_MS) < 20_000);
});

t.test('balancers count the live balancers of all zones', async (t) => {
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

t.test('all members detect a dead member within 15 s', async (t) => {
  const world = settledWorld([30]);
  world.node(3).isRunning = false;
  t.ok(world.timeUntil(() => world.hasConverged(), MINUTE_MS) < 15_000);
});

t.test('no live member is declared dead at 5 % packet loss', async (t) => {
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

t.test('a suspected member refutes with a higher incarnation', async (t) => {
  const world = settledWorld([20]);
  const paused = world.node(3);
  const { id } = paused.state.options;
  paused.isRunning = false;
  world.timeUntil(() => world.statusesOf(id).includes('suspect'), MINUTE_MS);
  paused.isRunning = true;
  world.run(2 * MINUTE_MS);
  t.ok(world.statusesOf(id).every((status) => status === 'alive'));
  t.ok(paused.state.self.incarnation > 1);
});

t.test('the two sides of a partitioned zone rejoin and stay joined', async (t) => {
  const world = settledWorld([20]);
  world.nodes.slice(10).forEach((node) => (node.partition = 1));
  world.run(MINUTE_MS);
  t.ok(world.statusesOf('balancer-0').includes('dead'));
  world.nodes.forEach((node) => (node.partition = 0));
  t.ok(world.timeUntil(() => world.hasConverged(), 2 * MINUTE_MS) < MINUTE_MS);
  world.run(MINUTE_MS);
  t.ok(world.hasConverged());
});

t.test(
  'a member that leaves is not suspected and can rejoin with a higher incarnation',
  async (t) => {
    const world = settledWorld([20]);
    const leaving = world.node(3);
    const { id } = leaving.state.options;
    world.step(leaving, { type: 'leave' });
    leaving.isRunning = false;
    t.ok(world.timeUntil(() => world.hasConverged(), MINUTE_MS) < 5_000);
    t.ok(world.statusesOf(id).every((status) => status === 'left'));

    world.restart(leaving, 2);
    t.ok(world.timeUntil(() => world.hasConverged(), MINUTE_MS) < 10_000);
  },
);

t.test('a member that restarts with its old incarnation rejoins', async (t) => {
  const world = settledWorld([10]);
  const member = world.node(3);
  member.isRunning = false;
  world.timeUntil(() => world.hasConverged(), MINUTE_MS);
  world.restart(member, 1);
  t.ok(world.timeUntil(() => world.hasConverged(), MINUTE_MS) < 15_000);
});

t.test('the traffic of a member does not grow with the number of members', async (t) => {
  const bytesPerSecond = (zoneSizes: readonly number[]) => {
    const world = settledWorld(zoneSizes);
    world.run(MINUTE_MS);
    const before = world.nodes.reduce((sum, { sentBytes }) => sum + sentBytes, 0);
    world.run(MINUTE_MS);
    const after = world.nodes.reduce((sum, { sentBytes }) => sum + sentBytes, 0);
    t.ok(world.nodes.every(({ largestDatagram }) => largestDatagram <= MAX_DATAGRAM_BYTES));
    return (after - before) / world.nodes.length / 60;
  };
  const few = bytesPerSecond([5, 5]);
  const many = bytesPerSecond([60, 40]);
  t.comment(`${few} bytes per second and member with 10 members, ${many} with 100`);
  t.ok(many < few * 1.25, `${many} after ${few}`);
  t.ok(many < 1_000);
});

t.test('datagrams of another cluster and malformed ones are rejected', async (t) => {
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

t.test('of two different records exactly one supersedes the other', async () => {
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

t.test('removing a name changes a rendezvous choice only if the name was chosen', async (t) => {
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
