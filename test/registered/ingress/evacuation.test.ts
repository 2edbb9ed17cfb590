/**
 * @file Guards against flows to evacuated zones, delayed orders that revert newer ones, and too many new flows to a
 * readmitted zone, whose back ends are cold.
 */
import t from 'tap';
import { createStallDetector } from '../../../src/shared/common/stall-detector.js';
import { defaultSwitches } from '../../../src/registered/decisions/mechanism-switches.js';
import { DrawnFaults } from '../../../src/proof/sim-registered/drawn-faults.js';
import type { IngressCheck } from '../../../src/proof/sim-registered/ingress-oracle.js';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';
import {
  smallIngressWorld,
  type IngressWorldOptions,
} from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;
const CUT_DETECTION_MS = 500;
const KINDS = ['zone-evacuated'] as const;
/** About 150 new flows per second: too many for a zone that was just readmitted. */
const HIGH_LOAD: Partial<IngressWorldOptions> = { clientCount: 80, balancerCount: 12 };

for (let seed = 21; seed <= 24; seed += 1) {
  t.test(`evacuations combined with other faults, seed ${seed}`, async (t) => {
    const report = await runIngressWorld({
      seed,
      faultCount: 16,
      kinds: [
        'zone-evacuated',
        'zone-evacuated',
        'control-cut',
        'balancer-cut',
        'control-killed',
        'balancer-killed',
        'balancer-frozen',
        'acknowledgements-lost',
        'backend-replaced',
      ],
      endsWithLoss: seed % 2 === 0,
    });
    t.same(report.violations, []);
  });
}

for (const coldRequestsPerS of [0, 6, 40]) {
  t.test(`readmitted zones, ${coldRequestsPerS} requests per second while cold`, async (t) => {
    const report = await runIngressWorld({
      seed: 31,
      faultCount: 12,
      kinds: KINDS,
      endsWithLoss: false,
      options: { ...HIGH_LOAD, coldRequestsPerS },
    });
    t.same(report.violations, []);
    t.ok(report.servedRequests > 0);
  });
}

/** Evacuates and readmits a zone under load. @returns the failed checks */
async function evacuateUnderLoad(
  prepare: (world: IngressWorld) => void,
  options = HIGH_LOAD,
): Promise<Set<IngressCheck>> {
  const world = new IngressWorld(41, { ...smallIngressWorld, ...options });
  world.start();
  await world.run(FORMATION_MS);
  prepare(world);
  world.startClients();
  await world.run(1_000);
  world.zoneOperator.evacuate('zone-a', 6_000);
  await world.run(10_000);
  world.readBackFromAll();
  await world.run(1_000);
  return new Set(world.oracle.violations.map(({ check }) => check));
}

t.test('a zone is evacuated and readmitted under load', async (t) => {
  t.same(await evacuateUnderLoad(() => undefined), new Set());
});

/** Evacuates and readmits a zone while some balancers have no connection to control machines. @returns the failed checks */
async function evacuateDuringPartition(
  cutCount: number,
  prepare: (world: IngressWorld) => void = () => undefined,
): Promise<Set<IngressCheck>> {
  const world = new IngressWorld(42, { ...smallIngressWorld, ...HIGH_LOAD });
  world.start();
  await world.run(FORMATION_MS);
  prepare(world);
  world.startClients();
  await world.run(1_000);
  for (const { host } of world.balancers.slice(0, cutCount)) {
    world.controls.forEach(({ address }) => world.wires.cut(host, address.host, true));
  }
  await world.run(CUT_DETECTION_MS);
  world.zoneOperator.evacuate('zone-a', 4_000);
  await world.run(8_000);
  return new Set(world.oracle.violations.map(({ check }) => check));
}

for (const cutCount of [2, 6]) {
  t.test(`${cutCount} of 12 balancers are cut off while a zone is evacuated`, async (t) => {
    t.same(await evacuateDuringPartition(cutCount), new Set());
  });
}

t.test('mutant: balancers that are cut off do not query other balancers', async (t) => {
  const failed = await evacuateDuringPartition(2, (world) =>
    world.balancers.forEach(({ process }) => {
      if (process !== undefined) {
        process.state.peers.rotatedPeers = () => [];
      }
    }),
  );
  t.ok(failed.has('cold'), [...failed].join(' '));
});

t.test('mutant: balancers ignore evacuations', async (t) => {
  const failed = await evacuateUnderLoad((world) =>
    world.balancers.forEach(({ process }) => {
      if (process !== undefined) {
        process.state.zones.isEvacuated = () => false;
      }
    }),
  );
  t.ok(failed.has('evacuation'), [...failed].join(' '));
});

t.test('mutant: balancers place flows on cold back ends without limit', async (t) => {
  const policy = { ...defaultSwitches, warmUp: 'ignored' as const };
  const failed = await evacuateUnderLoad(() => undefined, { ...HIGH_LOAD, policy });
  t.ok(failed.has('cold'), [...failed].join(' '));
});

t.test('mutant: orders are acknowledged but not applied', async (t) => {
  const failed = await evacuateUnderLoad((world) =>
    world.controls.forEach(({ process }) => {
      if (process !== undefined) {
        process.state.replicated.zones.apply = () => 'unchanged';
      }
    }),
  );
  t.ok(failed.has('evacuation'), [...failed].join(' '));
});

t.test(
  'an evacuation survives the loss of two disks and a power loss of all machines',
  async (t) => {
    for (const isKept of [true, false]) {
      const world = new IngressWorld(6, smallIngressWorld);
      world.start();
      await world.run(FORMATION_MS);
      if (!isKept) {
        world.controls.forEach(({ disk }) => (disk.sync = () => undefined));
      }
      const faults = new DrawnFaults(world);
      world.zoneOperator.order('zone-a', 'evacuate', () => faults.wipeSomePowerOffRest());
      await world.run(12_000);
      world.readBackFromAll();
      await world.run(1_000);
      const isLost = world.oracle.violations.some(({ check }) => check === 'zone');
      t.equal(isLost, !isKept, isKept ? 'kept' : 'mutant: disks do not sync');
    }
  },
);

t.test(
  'after a restart of the whole group, zones that were readmitted earlier are not cold',
  async (t) => {
    const world = new IngressWorld(8, smallIngressWorld);
    world.start();
    await world.run(FORMATION_MS);
    for (const zone of ['zone-a', 'zone-b']) {
      world.zoneOperator.evacuate(zone, 500);
      await world.run(2_000);
    }
    world.operator.declareNext();
    await world.run(8_000);
    world.controls.forEach((control) => control.powerOff());
    world.balancers.forEach((balancer) => balancer.kill());
    await world.run(1_000);
    world.controls.forEach((control) => control.start(false));
    world.balancers.forEach((balancer) => balancer.start());
    await world.run(1_500);
    for (const { process } of world.balancers) {
      const backends = [...(process?.state.backends.all() ?? [])];
      t.ok(backends.length > 0, 'the balancer has back ends');
      const cold = backends.filter((backend) =>
        process?.state.slowStart.isCold(backend, world.clock.nowMs),
      );
      t.same(cold, [], 'none is cold');
    }
  },
);

/**
 * An evacuation is sent to a frozen control machine, then sent to another one, acknowledged and reverted. The frozen
 * machine resumes, receives both later orders, and then reads the first one from its queue.
 * @returns the failed checks
 */
async function delayedOrder(prepare: (world: IngressWorld) => void): Promise<string[]> {
  const world = new IngressWorld(5, smallIngressWorld);
  world.start();
  await world.run(FORMATION_MS);
  prepare(world);
  const frozen = world.controls.find(
    ({ process }) => process?.state.consensus.role.name === 'follower',
  );
  frozen?.freeze(4_000);
  frozen?.call({ type: 'order-zone', zone: 'zone-a', kind: 'evacuate' }, () => undefined);
  const acknowledged = { evacuated: false, readmitted: false };
  world.zoneOperator.order('zone-a', 'evacuate', (isAcknowledged) => {
    acknowledged.evacuated = isAcknowledged;
    world.zoneOperator.order('zone-a', 'readmit', (isReadmitted) => {
      acknowledged.readmitted = isReadmitted;
    });
  });
  await world.run(3_900);
  t.same(acknowledged, { evacuated: true, readmitted: true });
  await world.run(4_000);
  world.readBackFromAll();
  await world.run(1_000);
  return world.oracle.violations.map(({ check }) => check);
}

t.test('an order queued at a frozen control machine does not revert newer orders', async (t) => {
  t.same(await delayedOrder(() => undefined), []);
});

t.test('mutant: delayed orders are applied', async (t) => {
  const violations = await delayedOrder((world) =>
    world.controls.forEach(({ process }) => {
      if (process !== undefined) {
        const detector = createStallDetector({ stallThresholdMs: 300, peerRetentionMs: 0 });
        process.state.stallDetector.freshnessAt = (nowMs) => detector.freshnessAt(nowMs);
        const { zones } = process.state.replicated;
        const apply = zones.apply.bind(zones);
        zones.apply = (order) =>
          apply({ ...order, afterOrders: zones.statusOf(order.zone).orders });
      }
    }),
  );
  t.ok(violations.includes('zone'), violations.join(' '));
});
