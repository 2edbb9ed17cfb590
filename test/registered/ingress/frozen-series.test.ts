/**
 * @file Balancers stand still one after the other and at the same time, for 1 to 4 s each, while clients send
 * copies of their opens elsewhere. No flow may end at two back ends: with these seeds each broke flows while two
 * balancers that asked about copies of one open at the same moment could both place it.
 */
import t from 'tap';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';

const SEEDS = [3, 11, 20, 37] as const;
const FREEZES = 30;

for (const seed of SEEDS) {
  t.test(`balancers that stand still in turn, seed ${seed}`, async (t) => {
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
