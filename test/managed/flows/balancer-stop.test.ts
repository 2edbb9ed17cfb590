/** @file Graceful stop of a balancer while the fabric still sends packets to it. */
import t from 'tap';
import { badNetwork, goodNetwork } from './network.js';
import { countViolations, World } from './world.js';

const LIST_LAG_MS = 5_000;
const STOP_GRACE_MS = 6_000;

t.test('a stop breaks no flow if the balancer list is updated 5 s late', async (t) => {
  for (const faults of [goodNetwork, badNetwork]) {
    const world = new World({ seed: 3, faults, balancers: 3, backends: [{}, {}] });
    for (let number = 0; number < 10; number += 1) {
      world.addCaller({ requestCount: 40, pauseMs: 150, requestDeadlineMs: 10_000 });
    }
    for (let number = 0; number < 40; number += 1) {
      world.network.after(number * 200, () =>
        world.addCaller({ requestCount: 1, requestDeadlineMs: 10_000 }),
      );
    }
    world.run(1_000);
    const initialForwarded = world.balancers[0]?.state.forwardedPackets ?? 0;
    world.stopBalancer(0, STOP_GRACE_MS);
    world.network.after(LIST_LAG_MS, () => world.listBalancers([1, 2]));
    world.run(LIST_LAG_MS);
    const forwarded = (world.balancers[0]?.state.forwardedPackets ?? 0) - initialForwarded;
    t.ok(forwarded > 50, 'it still forwards while it is listed');
    t.equal(world.balancers[0]?.state.pendingOpens.size, 0, 'it accepts no new opens');
    world.run(3_000);
    world.finish(60_000);
    t.equal(world.callers.length, 50);
    const outcomes = world.callers.flatMap((caller) => caller.outcomes);
    t.ok(outcomes.every(({ type }) => type === 'answered'));
    t.ok(world.callers.every(({ state }) => state.brokenFlows === 0));
    t.strictSame(countViolations(world), { ranTwice: 0, falseNotRun: 0, wrongAnswers: 0 });
  }
});
