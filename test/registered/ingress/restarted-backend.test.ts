/**
 * @file Guards against state of an earlier start (departure, address, warm-up, sequence) that is applied to a restarted back
 * end, against its packets reaching the new start, and against delayed messages of the earlier start.
 */
import t from 'tap';
import { drawnFaultKinds } from '../../../src/proof/sim-registered/drawn-faults.js';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { restartFaultKinds } from '../../../src/proof/sim-registered/restart-faults.js';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';
import {
  WARM_UP_MS,
  type StandInBackend,
} from '../../../src/proof/sim-registered/stand-in-backend.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;
const SERVED_MS = 3_000;
/** One control tick, one feed tick and the network latency. */
const PROPAGATION_MS = 200;
/** The change reaches all balancers within `applyBoundMs`; the warm-up limits new flows after that. */
const MAX_TIME_TO_SERVE_MS = smallIngressWorld.applyBoundMs + WARM_UP_MS;
const SEEDS = 4;
const DRAWN_SEEDS = 16;
const FAULTS = 12;

async function servingWorld(seed: number): Promise<{ world: IngressWorld; first: StandInBackend }> {
  const world = new IngressWorld(seed, smallIngressWorld);
  world.start();
  await world.run(FORMATION_MS);
  world.startClients();
  await world.run(SERVED_MS);
  const [first] = world.backends;
  if (first === undefined) {
    throw new Error('No back end.');
  }
  return { world, first };
}

/** @returns the distinct liveness values of a start over all balancers that have it */
function livenessOf(world: IngressWorld, { startId }: StandInBackend): string[] {
  const found = world.balancers.flatMap(
    ({ process }) => process?.state.backends.find(startId) ?? [],
  );
  return [...new Set(found.map(({ registration }) => registration.liveness))];
}

for (let seed = 1; seed <= SEEDS; seed += 1) {
  t.test(
    `the new start is used at once and the previous one no longer, seed ${seed}`,
    async (t) => {
      const { world, first } = await servingWorld(seed);
      const next = world.restartBackend(first);
      await world.run(PROPAGATION_MS);
      t.same(livenessOf(world, first), ['dead']);
      t.same(livenessOf(world, next), ['alive']);
      await world.run(MAX_TIME_TO_SERVE_MS);
      t.ok(next.acceptedFlows > 0, `${next.acceptedFlows} flows`);
      t.same(world.oracle.violations, []);
    },
  );

  t.test(`the drain of the previous start does not affect the new one, seed ${seed}`, async (t) => {
    const { world, first } = await servingWorld(seed);
    first.leave(true, () => undefined);
    await world.run(PROPAGATION_MS);
    const next = world.restartBackend(first);
    await world.run(PROPAGATION_MS);
    first.deliverHeldUpHeartbeat();
    await world.run(MAX_TIME_TO_SERVE_MS);
    t.ok(next.acceptedFlows > 0, `${next.acceptedFlows} flows`);
    t.same(livenessOf(world, next), ['alive']);
    t.same(world.oracle.violations, []);
  });

  t.test(`delayed messages of the previous start, seed ${seed}`, async (t) => {
    const { world, first } = await servingWorld(seed);
    const moved = { host: '10.0.5.1', port: first.identity.address.port };
    const next = world.restartBackend(first, moved);
    await world.run(PROPAGATION_MS);
    first.deliverHeldUpHeartbeat();
    first.deliverHeldUpDeparture();
    await world.run(PROPAGATION_MS);
    t.same(livenessOf(world, first), ['dead'], 'despite its delayed heartbeat');
    t.same(livenessOf(world, next), ['alive']);
    const departed = world.controls.map(({ process }) =>
      process?.state.replicated.departureOf(next.startId),
    );
    t.same(
      new Set(departed),
      new Set([undefined]),
      'the departure applies only to the start that sent it',
    );
    await world.run(MAX_TIME_TO_SERVE_MS);
    t.ok(next.acceptedFlows > 0, `${next.acceptedFlows} flows`);
  });

  t.test(`all control machines restart, seed ${seed}`, async (t) => {
    const { world, first } = await servingWorld(seed);
    const next = world.restartBackend(first);
    await world.run(SERVED_MS);
    world.controls.forEach((control) => control.kill());
    await world.run(PROPAGATION_MS);
    world.controls.forEach((control) => control.start(false));
    await world.run(SERVED_MS);
    first.deliverHeldUpHeartbeat();
    await world.run(PROPAGATION_MS);
    t.same(livenessOf(world, first), ['dead']);
    t.same(livenessOf(world, next), ['alive']);
  });
}

for (const kind of restartFaultKinds) {
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

for (let seed = 1; seed <= DRAWN_SEEDS; seed += 1) {
  t.test(`restarts combined with other faults, seed ${seed}`, async (t) => {
    const report = await runIngressWorld({
      seed,
      faultCount: FAULTS,
      kinds: [...restartFaultKinds, ...restartFaultKinds, ...drawnFaultKinds],
      endsWithLoss: seed % 2 === 0,
    });
    t.same(report.violations, []);
  });
}
