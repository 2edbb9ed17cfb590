/**
 * @file Guards against flows at two back ends when balancers freeze in turn or together while clients retransmit opens to
 * others, and two balancers that query the holders for one open at the same time could both place it.
 */
import t from 'tap';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';

const SEEDS = [3, 11, 20, 37] as const;
const FREEZES = 30;

for (const seed of SEEDS) {
  t.test(`balancers freeze repeatedly, seed ${seed}`, async (t) => {
    const report = await runIngressWorld({
      seed,
      faultCount: FREEZES,
      kinds: ['balancer-frozen'],
      endsWithLoss: false,
      options: { clientCount: 40 },
    });
    t.same(report.violations, []);
    t.ok(report.servedRequests > 0);
  });
}
