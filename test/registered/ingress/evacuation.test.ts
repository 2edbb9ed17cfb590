/**
 * @file Zones that are emptied and taken back, in the simulated deployment. Nothing may reach the back ends of an
 * evacuated zone later than the bound, an order that comes late may undo nothing, and a zone that is taken back is
 * cold: its back ends bear few new flows a second from all balancers together.
 */
import t from 'tap';
import { createStallDetector } from '../../../src/shared/common/stall-guard.js';
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
const CUT_NOTICED_MS = 500;
const KINDS = ['zone-evacuated'] as const;
/** Some 150 new flows a second: what a zone that is taken back at once can't bear. */
const busy: Partial<IngressWorldOptions> = { clientCount: 80, balancerCount: 12 };

for (let seed = 21; seed <= 24; seed += 1) {
  t.test(`evacuations beside all other faults, seed ${seed}`, async (t) => {
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
  t.test(
    `zones that are taken back, ${coldRequestsPerS} requests a second while cold`,
    async (t) => {
      const report = await runIngressWorld({
        seed: 31,
        faultCount: 12,
        kinds: KINDS,
        endsWithLoss: false,
        options: { ...busy, coldRequestsPerS },
      });
      t.same(report.violations, []);
      t.ok(report.servedRequests > 0);
    },
  );
}

/** Empties a zone under load, takes it back, and tells the checks that failed, each once. */
async function emptyZone(
  prepare: (world: IngressWorld) => void,
  options = busy,
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

t.test('a zone is emptied and taken back under load', async (t) => {
  t.same(await emptyZone(() => undefined), new Set());
});

/** Some balancers are cut off from control from before a zone is emptied until after it is taken back. */
async function emptyZoneBehindCut(
  cutCount: number,
  prepare: (world: IngressWorld) => void = () => undefined,
): Promise<Set<IngressCheck>> {
  const world = new IngressWorld(42, { ...smallIngressWorld, ...busy });
  world.start();
  await world.run(FORMATION_MS);
  prepare(world);
  world.startClients();
  await world.run(1_000);
  for (const { host } of world.balancers.slice(0, cutCount)) {
    world.controls.forEach(({ address }) => world.wires.cut(host, address.host, true));
  }
  await world.run(CUT_NOTICED_MS);
  world.zoneOperator.evacuate('zone-a', 4_000);
  await world.run(8_000);
  return new Set(world.oracle.violations.map(({ check }) => check));
}

for (const cutCount of [2, 6]) {
  t.test(`${cutCount} of 12 balancers are cut off while a zone is emptied`, async (t) => {
    t.same(await emptyZoneBehindCut(cutCount), new Set());
  });
}

t.test('mutant: balancers that are cut off ask nobody', async (t) => {
  const failed = await emptyZoneBehindCut(2, (world) =>
    world.balancers.forEach(({ process }) => {
      if (process !== undefined) {
        process.state.peers.othersInTurn = () => [];
      }
    }),
  );
  t.ok(failed.has('cold'), [...failed].join(' '));
});

t.test('mutant: a balancer passes over evacuations', async (t) => {
  const failed = await emptyZone((world) =>
    world.balancers.forEach(({ process }) => {
      if (process !== undefined) {
        process.state.zones.isEvacuated = () => false;
      }
    }),
  );
  t.ok(failed.has('evacuation'), [...failed].join(' '));
});

t.test('mutant: balancers give cold back ends what they give the others', async (t) => {
  const policy = { ...defaultSwitches, warmUp: 'ignored' as const };
  const failed = await emptyZone(() => undefined, { ...busy, policy });
  t.ok(failed.has('cold'), [...failed].join(' '));
});

t.test('mutant: orders are acknowledged and not kept', async (t) => {
  const failed = await emptyZone((world) =>
    world.controls.forEach(({ process }) => {
      if (process !== undefined) {
        process.state.replicated.zones.apply = () => 'known';
      }
    }),
  );
  t.ok(failed.has('evacuation'), [...failed].join(' '));
});

t.test('an evacuation outlives the loss of two disks and of all power', async (t) => {
  for (const isKept of [true, false]) {
    const world = new IngressWorld(6, smallIngressWorld);
    world.start();
    await world.run(FORMATION_MS);
    if (!isKept) {
      world.controls.forEach(({ disk }) => (disk.sync = () => undefined));
    }
    const faults = new DrawnFaults(world);
    world.zoneOperator.order('zone-a', 'evacuate', () => faults.wipeSomePowerOffAll());
    await world.run(12_000);
    world.readBackFromAll();
    await world.run(1_000);
    const isLost = world.oracle.violations.some(({ check }) => check === 'zone');
    t.equal(isLost, !isKept, isKept ? 'kept' : 'mutant: disks sync nothing');
  }
});

t.test(
  'a group that restarts as a whole takes no zone for cold that was readmitted before',
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
      const all = [...(process?.state.backends.all() ?? [])];
      t.ok(all.length > 0, 'it knows back ends');
      const cold = all.filter((backend) =>
        process?.state.slowStart.isCold(backend, world.clock.nowMs),
      );
      t.same(cold, [], 'none is cold');
    }
  },
);

/**
 * An operator's order reaches a control machine that stands still, is given to another one and acknowledged, and is
 * taken back. The machine goes on, hears of both, and finds the first order waiting.
 * @returns what must never be and was
 */
async function lateOrder(prepare: (world: IngressWorld) => void): Promise<string[]> {
  const world = new IngressWorld(5, smallIngressWorld);
  world.start();
  await world.run(FORMATION_MS);
  prepare(world);
  const frozen = world.controls.find(
    ({ process }) => process?.state.consensus.role.name === 'follower',
  );
  frozen?.freeze(4_000);
  frozen?.call({ type: 'order-zone', zone: 'zone-a', kind: 'evacuate' }, () => undefined);
  const ended = { evacuated: false, readmitted: false };
  world.zoneOperator.order('zone-a', 'evacuate', (isAcknowledged) => {
    ended.evacuated = isAcknowledged;
    world.zoneOperator.order('zone-a', 'readmit', (isTakenBack) => {
      ended.readmitted = isTakenBack;
    });
  });
  await world.run(3_900);
  t.same(ended, { evacuated: true, readmitted: true });
  await world.run(4_000);
  world.readBackFromAll();
  await world.run(1_000);
  return world.oracle.violations.map(({ check }) => check);
}

t.test('an order that waited at a machine that stood still undoes nothing', async (t) => {
  t.same(await lateOrder(() => undefined), []);
});

t.test('mutant: late orders are applied', async (t) => {
  const violations = await lateOrder((world) =>
    world.controls.forEach(({ process }) => {
      if (process !== undefined) {
        const guard = createStallDetector({ stallThresholdMs: 300, peerRetentionMs: 0 });
        process.state.stallGuard.freshnessAt = (nowMs) => guard.freshnessAt(nowMs);
        const { zones } = process.state.replicated;
        const apply = zones.apply.bind(zones);
        zones.apply = (order) =>
          apply({ ...order, afterOrders: zones.statusOf(order.zone).orders });
      }
    }),
  );
  t.ok(violations.includes('zone'), violations.join(' '));
});
