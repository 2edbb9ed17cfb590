/**
 * @file Guards against flows at two back ends when balancers stall repeatedly for 150 to 350 ms, e.g. under a CPU quota, and
 * queued opens go unnoticed or a query to the holders outlives their claim.
 */
import t from 'tap';
import { runWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';

const SEEDS = [7, 14, 16, 23] as const;
const STALLS = 60;
const MIN_STALL_MS = 150;
const STALL_SPREAD_MS = 200;
const MAX_GAP_MS = 500;

for (const seed of SEEDS) {
  t.test(`balancers stall briefly, seed ${seed}`, async (t) => {
    const run = { seed, endsWithLoss: false, options: { clientCount: 40 } };
    const report = await runWorld(run, async ({ balancers, random, clock }) => {
      for (let stall = 0; stall < STALLS; stall += 1) {
        const balancer = balancers[random.nextInt(balancers.length)];
        balancer?.freeze(MIN_STALL_MS + random.nextFloat() * STALL_SPREAD_MS);
        await clock.runUntil(clock.nowMs + random.nextFloat() * MAX_GAP_MS);
      }
    });
    t.same(report.violations, []);
    t.ok(report.servedRequests > 0);
  });
}
