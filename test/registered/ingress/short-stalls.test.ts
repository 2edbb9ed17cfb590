/**
 * @file Balancers that stand still for 150 to 350 ms again and again, as on a machine whose processor time is a quota,
 * while clients send copies of their opens elsewhere. No flow may end at two back ends: with these seeds each broke
 * flows while only pauses of 300 ms and more were noticed, and while a balancer whose wait for holders took longer
 * than their claim placed its open without asking again.
 */
import t from 'tap';
import { runWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';

const SEEDS = [7, 14, 16, 23] as const;
const STALLS = 60;
const SHORTEST_MS = 150;
const SPREAD_MS = 200;
const MAX_GAP_MS = 500;

for (const seed of SEEDS) {
  t.test(`balancers that stand still for a moment, seed ${seed}`, async (t) => {
    const run = { seed, endsWithLoss: false, options: { clientCount: 40 } };
    const report = await runWorld(run, async ({ balancers, random, clock }) => {
      for (let stall = 0; stall < STALLS; stall += 1) {
        const balancer = balancers[random.nextInt(balancers.length)];
        balancer?.freeze(SHORTEST_MS + random.nextFloat() * SPREAD_MS);
        await clock.runUntil(clock.nowMs + random.nextFloat() * MAX_GAP_MS);
      }
    });
    t.same(report.violations, []);
    t.ok(report.servedRequests > 0);
  });
}
