/** @file Guards leases, and that no address is released while a lease holder may still use it. */
import fc from 'fast-check';
import t from 'tap';
import {
  expiredLease,
  IDENTITY_LIFETIME_MS,
  isLeaseHeld,
  LEASE_DURATION_MS,
  LEASE_MARGIN_MS,
  mayUseBackend,
  delegateLease,
  applyGrant,
} from '../../../src/managed/dissemination/lease.js';
import { LeaseWorld } from './lease-world.js';

const SETTLED_MS = LEASE_DURATION_MS + 2 * LEASE_MARGIN_MS + 2_000;
const CLOCK_RATES = [0.99, 1, 1.01];

t.test('a lease starts when it was requested', async (t) => {
  const lease = expiredLease();
  applyGrant(lease, { askedAtMs: 1_000, remainingMs: 4_000, floorIndex: 7 }, 7);
  t.ok(isLeaseHeld(lease, 4_999));
  t.notOk(isLeaseHeld(lease, 5_000));

  applyGrant(lease, { askedAtMs: 500, remainingMs: 4_000, floorIndex: 7 }, 7);
  t.equal(lease.expiresAtMs, 5_000, 'an earlier grant does not shorten the lease');
  applyGrant(lease, { askedAtMs: 3_000, remainingMs: 4_000, floorIndex: 8 }, 7);
  t.equal(lease.expiresAtMs, 5_000, 'a grant with a floor above the index in force is ignored');
});

t.test('only the remaining time of a lease can be delegated', async (t) => {
  const lease = expiredLease();
  t.equal(delegateLease(lease, 9, 0), undefined);
  applyGrant(lease, { askedAtMs: 1_000, remainingMs: 4_000, floorIndex: 7 }, 7);
  t.same(delegateLease(lease, 9, 3_000), { askedAtMs: 9, remainingMs: 2_000, floorIndex: 7 });
  t.equal(delegateLease(lease, 9, 5_000), undefined);
});

t.test(
  'without a lease, only back ends that recently confirmed their identity are used',
  async (t) => {
    const lease = expiredLease();
    t.ok(mayUseBackend(lease, 1_000, 1_000 + IDENTITY_LIFETIME_MS - 1));
    t.notOk(mayUseBackend(lease, 1_000, 1_000 + IDENTITY_LIFETIME_MS));
    t.notOk(mayUseBackend(lease, Number.NEGATIVE_INFINITY, 1_000));
    applyGrant(lease, { askedAtMs: 0, remainingMs: 4_000, floorIndex: 0 }, 0);
    t.ok(mayUseBackend(lease, Number.NEGATIVE_INFINITY, 1_000));
  },
);

t.test('balancers linked to the leader hold leases, and the fenced index advances', async (t) => {
  const world = new LeaseWorld(CLOCK_RATES);
  world.run(1_000);
  t.ok(world.balancers.every((balancer) => world.holdsLease(balancer)));
  t.same([world.inForceIndex, world.fencedIndex], [0, 0], 'a new leader waits for one lease');
  world.run(SETTLED_MS);
  world.commit();
  world.run(500);
  t.equal(world.inForceIndex, world.committed.index);
  t.ok(world.fencedIndex < world.committed.index);
  world.run(SETTLED_MS);
  t.equal(world.fencedIndex, world.committed.index);
});

t.test(
  'an address is released only after the lease of a disconnected balancer has expired',
  async (t) => {
    const world = new LeaseWorld(CLOCK_RATES);
    const cutOff = world.balancer(0);
    world.run(SETTLED_MS);
    world.cut(cutOff, [1, 2]);
    world.commit();
    const removal = world.committed.index;
    let releasedWhileHeld = false;
    world.run(SETTLED_MS, () => {
      releasedWhileHeld ||= world.fencedIndex >= removal && world.holdsLease(cutOff);
    });
    t.ok(cutOff.position.index < removal, 'the balancer has not received the removal');
    t.ok(world.fencedIndex >= removal, 'the address is released');
    t.equal(releasedWhileHeld, false, 'not before its lease has expired');
    world.heal(cutOff);
    world.run(10_000);
    t.ok(world.holdsLease(cutOff));
    t.equal(cutOff.position.index, world.committed.index);
  },
);

t.test('a lagging balancer holds back the index in force until its lease expires', async (t) => {
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

t.test('a deposed leader that has not stepped down extends no lease', async (t) => {
  const world = new LeaseWorld([1]);
  const balancer = world.balancer(0);
  world.run(SETTLED_MS);
  world.cut(balancer, [2]);
  world.elect(1, false);
  world.run(LEASE_DURATION_MS);
  t.notOk(world.holdsLease(balancer), 'although it still reaches the former leader');
  world.heal(balancer);
  world.cut(balancer, [1]);
  world.run(10_000);
  t.ok(world.holdsLease(balancer), 'the new leader extends it');
});

t.test('messages buffered during a pause extend no lease', async (t) => {
  const world = new LeaseWorld([1]);
  const balancer = world.balancer(0);
  world.run(SETTLED_MS);
  balancer.isPaused = true;
  world.run(60 * 60 * 1_000);
  world.resume(balancer);
  t.notOk(world.holdsLease(balancer));
  world.run(10_000);
  t.ok(world.holdsLease(balancer));
});

t.test('a balancer switches to the leader that a follower names', async (t) => {
  const world = new LeaseWorld([1], 3);
  world.run(1_000);
  world.elect(2);
  world.run(3_000);
  t.ok(world.holdsLease(world.balancer(0)));
  t.equal(world.balancer(0).subscription.address?.port, 3);
});

type Fault = 'commit' | 'cut' | 'heal' | 'pause' | 'resume' | 'elect' | 'elect-unknown';

t.test(
  'no lease holder is ever behind the fenced index, under any sequence of faults',
  async () => {
    const step = fc.record({
      kind: fc.constantFrom<Fault>(
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
        injectFault(world, kind, target, ports);
        world.run(pauseMs, () => {
          released = Math.max(released, world.fencedIndex);
          for (const balancer of world.balancers) {
            if (world.holdsLease(balancer) && balancer.position.index < released) {
              throw new Error(
                `A lease holder is at index ${balancer.position.index}, but ${released} is fenced.`,
              );
            }
          }
        });
      }
    });
    fc.assert(property, { seed: 20261202, numRuns: 150 });
  },
);

function injectFault(world: LeaseWorld, kind: Fault, target: number, ports: number[]): void {
  const balancer = world.balancer(target);
  const actions: Record<Fault, () => void> = {
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
