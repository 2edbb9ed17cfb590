/** @file Draining of back ends: flows move make-before-break at a limited rate, without loss or duplicates. */
import t from 'tap';
import { badNetwork } from './network.js';
import { countViolations, inclusiveRange, World } from './world.js';

const NO_VIOLATIONS = { ranTwice: 0, falseNotRun: 0, wrongAnswers: 0 };
const LAST_NOTICE = 60;
const feed = { afterNotice: 0, lastNotice: LAST_NOTICE, deadlineMs: 120_000 };

t.test('feeds move off a draining back end without lost or duplicate notices', async (t) => {
  const world = new World({ seed: 1, backends: [{}, {}, {}] });
  const callers = Array.from({ length: 12 }, () => world.addCaller({ feed }));
  world.publishEvery(50, 1, LAST_NOTICE);
  world.run(1_000);
  t.ok(world.backends[0]?.feeds.size, 'the back end has feeds');
  world.drainBackend(0);
  world.run(1_500);
  t.equal(world.backends[0]?.flows.size, 0, 'all flows have moved');
  world.finish(20_000);
  for (const caller of callers) {
    t.strictSame(caller.notices, inclusiveRange(1, LAST_NOTICE));
    t.equal(caller.state.brokenFlows, 0);
  }
});

t.test(
  'feeds and requests survive drains on a network with loss, duplication and reordering',
  async (t) => {
    for (const seed of [1, 2, 3, 4]) {
      const world = new World({ seed, faults: badNetwork, backends: [{}, {}, {}] });
      for (let number = 0; number < 6; number += 1) {
        world.addCaller({ feed, requestCount: 20, requestDeadlineMs: 20_000 });
      }
      world.publishEvery(50, 1, LAST_NOTICE);
      world.run(1_000);
      world.drainBackend(0);
      world.killBalancer(0);
      world.listBalancers([1]);
      world.run(1_000);
      world.drainBackend(1);
      world.finish(60_000);
      for (const caller of world.callers) {
        t.strictSame(caller.notices, inclusiveRange(1, LAST_NOTICE), `seed ${seed}`);
        t.ok(caller.outcomes.every((outcome) => outcome.type === 'answered'));
        t.equal(caller.state.brokenFlows, 0);
      }
      t.strictSame(countViolations(world), NO_VIOLATIONS, `seed ${seed}`);
    }
  },
);

t.test('go-away messages are rate-limited to avoid a thundering herd', async (t) => {
  const tuning = { feedMovesPerSecond: 10 };
  const world = new World({ seed: 2, backends: [{ tuning }, {}] });
  for (let number = 0; number < 60; number += 1) {
    world.addCaller({ feed });
  }
  world.run(1_000);
  const initialFlows = world.backends[0]?.flows.size ?? 0;
  t.ok(initialFlows >= 20);
  world.drainBackend(0);
  world.run(1_000);
  const movedFlows = initialFlows - (world.backends[0]?.flows.size ?? 0);
  t.ok(movedFlows >= 9 && movedFlows <= 12, `${movedFlows} flows moved in the first second`);
});

t.test(
  'a draining back end completes running requests and later refuses new ones on remaining flows',
  async (t) => {
    const tuning = { drainGraceMs: 10_000 };
    const world = new World({ seed: 3, backends: [{ tuning, meanServiceTimeMs: 300 }] });
    const caller = world.addCaller({ requestCount: 1, requestDeadlineMs: 30_000 });
    const remainingCaller = world.addCaller({
      requestCount: 400,
      pauseMs: 100,
      requestDeadlineMs: 4_000,
      ignoresGoAway: true,
    });
    world.run(50);
    t.ok(world.backends[0]?.running.size);
    world.drainBackend(0);
    world.run(3_200);
    t.equal(caller.outcomes[0]?.type, 'answered', 'the running request completed on its back end');
    const runs = world.backends[0]?.executedRequests.length;
    world.run(5_000);
    t.equal(world.backends[0]?.executedRequests.length, runs, 'no new requests run after 3 s');
    t.ok(remainingCaller.outcomes.some((outcome) => outcome.type === 'not-run'));
    t.strictSame(countViolations(world), NO_VIOLATIONS);
  },
);

t.test(
  'a feed whose caller ignores go-away is closed after the grace period and counts as broken',
  async (t) => {
    const tuning = { drainGraceMs: 5_000 };
    const world = new World({ seed: 4, backends: [{ tuning }] });
    const caller = world.addCaller({ feed, ignoresGoAway: true });
    world.run(200);
    world.drainBackend(0);
    world.publishEvery(100, 1, 20);
    world.run(4_500);
    t.equal(caller.notices.length, 20, 'notices are delivered during the grace period');
    t.equal(caller.state.brokenFlows, 0);
    world.run(1_000);
    t.equal(world.backends[0]?.flows.size, 0);
    t.equal(caller.state.brokenFlows, 1);
  },
);

t.test('no balancer sends opens to a draining back end that ignores the drain', async (t) => {
  const world = new World({
    seed: 5,
    balancers: 4,
    backends: [{ faults: { ignoresDrain: true } }, {}, {}],
  });
  const openOften = (): void => {
    world.addCaller({ requestCount: 1 });
    world.network.after(50, openOften);
  };
  openOften();
  world.run(2_000);
  t.ok(world.opens[0], 'it received opens before the drain');
  world.drainBackend(0);
  world.run(1_000);
  const opensBeforeCheck = world.opens[0];
  world.run(10_000);
  t.equal(world.opens[0], opensBeforeCheck);
  t.ok(world.callers.slice(0, -5).every((caller) => caller.outcomes[0]?.type === 'answered'));
});
