/** @file Guards against balancers that follow the minority when the control group is partitioned and they reach both sides. */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;
const SEEDS = 10;

t.test(
  'a configuration change during a partition takes effect on all balancers in time',
  async (t) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const world = new IngressWorld(seed, smallIngressWorld);
      world.start();
      await world.run(FORMATION_MS);
      const smaller = world.controls.filter((_, index) => (index + seed) % 5 < 2);
      const larger = world.controls.filter((control) => !smaller.includes(control));
      for (const member of smaller) {
        larger.forEach((other) => world.wires.cut(member.address.host, other.address.host, true));
      }
      let acknowledged = 0;
      await world.run(1_400);
      world.operator.declareNext((version) => {
        acknowledged = version;
      });
      for (let waitedMs = 0; acknowledged === 0 && waitedMs < 8_000; waitedMs += 50) {
        await world.run(50);
      }
      t.not(acknowledged, 0, `seed ${seed}: acknowledged during the partition`);
      await world.run(2_000);
      const versions = world.balancers.map(({ process }) => process?.state.routes.config?.version);
      t.same(new Set(versions), new Set([acknowledged]), `seed ${seed}: active on all balancers`);
    }
  },
);
