/** @file Leases, the cut-off rules and the fence against early reuse of addresses. */
import fc from 'fast-check';
import t from 'tap';
import {
  expiredLease,
  IDENTITY_LIFETIME_MS,
  isLeaseHeld,
  LEASE_DURATION_MS,
  LEASE_MARGIN_MS,
  mayUseBackend,
  passOnLease,
  applyGrant,
} from '../../../src/managed/dissemination/lease.js';
import { LeaseWorld } from './lease-world.js';

const SETTLED_MS = LEASE_DURATION_MS + 2 * LEASE_MARGIN_MS + 2_000;
const CLOCK_RATES = [0.99, 1, 1.01];

t.test('a lease is counted from when it was asked for', async (t) => {
  const lease = expiredLease();
  applyGrant(lease, { askedAtMs: 1_000, remainingMs: 4_000, floorIndex: 7 }, 7);
  t.ok(isLeaseHeld(lease, 4_999));
  t.notOk(isLeaseHeld(lease, 5_000));

  applyGrant(lease, { askedAtMs: 500, remainingMs: 4_000, floorIndex: 7 }, 7);
  t.equal(lease.expiresAtMs, 5_000, 'an earlier grant does not shorten it');
  applyGrant(lease, { askedAtMs: 3_000, remainingMs: 4_000, floorIndex: 8 }, 7);
  t.equal(lease.expiresAtMs, 5_000, 'a grant for a later index is not taken');
});

t.test('what is left of a lease can be passed on, and no more', async (t) => {
  const lease = expiredLease();
  t.equal(passOnLease(lease, 9, 0), undefined);
  applyGrant(lease, { askedAtMs: 1_000, remainingMs: 4_000, floorIndex: 7 }, 7);
  t.same(passOnLease(lease, 9, 3_000), { askedAtMs: 9, remainingMs: 2_000, floorIndex: 7 });
  t.equal(passOnLease(lease, 9, 5_000), undefined);
});

t.test('without a lease, only back ends that just said who they are are used', async (t) => {
  const lease = expiredLease();
  t.ok(mayUseBackend(lease, 1_000, 1_000 + IDENTITY_LIFETIME_MS - 1));
  t.notOk(mayUseBackend(lease, 1_000, 1_000 + IDENTITY_LIFETIME_MS));
  t.notOk(mayUseBackend(lease, Number.NEGATIVE_INFINITY, 1_000));
  applyGrant(lease, { askedAtMs: 0, remainingMs: 4_000, floorIndex: 0 }, 0);
  t.ok(mayUseBackend(lease, Number.NEGATIVE_INFINITY, 1_000));
});

t.test('balancers that reach the leader hold leases, and the fence follows', async (t) => {
  const world = new LeaseWorld(CLOCK_RATES);
  world.run(1_000);
  t.ok(world.balancers.every((balancer) => world.isHolder(balancer)));
  t.same([world.inForceIndex, world.fencedIndex], [0, 0], 'a new leader waits out one lease');
  world.run(SETTLED_MS);
  world.commit();
  world.run(500);
  t.equal(world.inForceIndex, world.committed.index);
  t.ok(world.fencedIndex < world.committed.index);
  world.run(SETTLED_MS);
  t.equal(world.fencedIndex, world.committed.index);
});

t.test('an address moves while one balancer is cut off', async (t) => {
  const world = new LeaseWorld(CLOCK_RATES);
  const cutOff = world.balancer(0);
  world.run(SETTLED_MS);
  world.cut(cutOff, [1, 2]);
  world.commit();
  const removal = world.committed.index;
  let releasedWhileHeld = false;
  world.run(SETTLED_MS, () => {
    releasedWhileHeld ||= world.fencedIndex >= removal && world.isHolder(cutOff);
  });
  t.ok(cutOff.position.index < removal, 'it does not know the removal');
  t.ok(world.fencedIndex >= removal, 'the address is released');
  t.equal(releasedWhileHeld, false, 'only after its lease has run out');
  world.heal(cutOff);
  world.run(10_000);
  t.ok(world.isHolder(cutOff));
  t.equal(cutOff.position.index, world.committed.index);
});

t.test('a balancer that lags keeps the index down until it is past its lease', async (t) => {
  const world = new LeaseWorld(CLOCK_RATES);
  world.run(SETTLED_MS);
  const lagging = world.balancer(0);
  world.cut(lagging, [1, 2]);
  world.commit();
  world.run(1_000);
  t.equal(world.inForceIndex, world.committed.index - 1);
  world.run(SETTLED_MS);
  t.equal(world.inForceIndex, world.committed.index);
});

t.test('a leader that was cut off and goes on believing extends no lease', async (t) => {
  const world = new LeaseWorld([1]);
  const balancer = world.balancer(0);
  world.run(SETTLED_MS);
  world.cut(balancer, [2]);
  world.elect(1, false);
  world.run(LEASE_DURATION_MS);
  t.notOk(world.isHolder(balancer), 'though it still reaches the former leader');
  world.heal(balancer);
  world.cut(balancer, [1]);
  world.run(10_000);
  t.ok(world.isHolder(balancer), 'the new leader extends it');
});

t.test('a balancer that was paused finds no lease in its buffers', async (t) => {
  const world = new LeaseWorld([1]);
  const balancer = world.balancer(0);
  world.run(SETTLED_MS);
  balancer.isPaused = true;
  world.run(60 * 60 * 1_000);
  world.resume(balancer);
  t.notOk(world.isHolder(balancer));
  world.run(10_000);
  t.ok(world.isHolder(balancer));
});

t.test('a balancer moves to the leader that another machine names', async (t) => {
  const world = new LeaseWorld([1], 3);
  world.run(1_000);
  world.elect(2);
  world.run(3_000);
  t.ok(world.isHolder(world.balancer(0)));
  t.equal(world.balancer(0).subscription.address?.port, 3);
});

type Disturbance = 'commit' | 'cut' | 'heal' | 'pause' | 'resume' | 'elect' | 'elect-unknown';

t.test('no holder of a lease is ever behind the fence, whatever happens', async () => {
  const step = fc.record({
    kind: fc.constantFrom<Disturbance>(
      'commit',
      'commit',
      'cut',
      'heal',
      'pause',
      'resume',
      'elect',
      'elect-unknown',
    ),
    target: fc.nat(2),
    ports: fc.subarray([1, 2, 3]),
    pauseMs: fc.nat(15_000),
  });
  const property = fc.property(fc.array(step, { minLength: 5, maxLength: 20 }), (steps) => {
    const world = new LeaseWorld(CLOCK_RATES, 3);
    let released = 0;
    for (const { kind, target, ports, pauseMs } of steps) {
      disturb(world, kind, target, ports);
      world.run(pauseMs, () => {
        released = Math.max(released, world.fencedIndex);
        for (const balancer of world.balancers) {
          if (world.isHolder(balancer) && balancer.position.index < released) {
            throw new Error(`A holder has ${balancer.position.index}, released is ${released}.`);
          }
        }
      });
    }
  });
  fc.assert(property, { seed: 20261202, numRuns: 150 });
});

function disturb(world: LeaseWorld, kind: Disturbance, target: number, ports: number[]): void {
  const balancer = world.balancer(target);
  const actions: Record<Disturbance, () => void> = {
    commit: () => world.commit(),
    cut: () => world.cut(balancer, ports),
    heal: () => world.heal(balancer),
    pause: () => (balancer.isPaused = true),
    resume: () => world.resume(balancer),
    elect: () => world.elect(target),
    'elect-unknown': () => world.elect(target, false),
  };
  actions[kind]();
}
