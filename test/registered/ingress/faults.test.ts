/** @file Guards against violations, and failures to recover, in the simulated deployment under random faults. */
import t from 'tap';
import { drawnFaultKinds } from '../../../src/proof/sim-registered/drawn-faults.js';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';

const SEEDS = 12;
const FAULTS = 12;

for (const kind of drawnFaultKinds) {
  t.test(`three faults of kind ${kind}`, async (t) => {
    const report = await runIngressWorld({
      seed: 7,
      faultCount: 3,
      kinds: [kind],
      endsWithLoss: false,
    });
    t.same(report.violations, []);
  });
}

for (let seed = 1; seed <= SEEDS; seed += 1) {
  t.test(`random faults, seed ${seed}`, async (t) => {
    const endsWithLoss = seed % 2 === 0;
    const report = await runIngressWorld({ seed, faultCount: FAULTS, endsWithLoss });
    t.same(report.violations, []);
  });
}
