/**
 * @file A back end starts again under its ID. It serves as a new one: nothing that is known of the start before (departure,
 * address, warm-up, sequence) is held against it, no packet of a flow of before is sent to it, and what the start before
 * has sent, and comes late, changes nothing.
 *
 * Before starts had names, heartbeats of the next start were dropped as late until its sequence passed the last one of the
 * start before, though they were acknowledged; and a start that had said that it drains was followed by one that never
 * got a flow.
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
/** A tick of control, a tick of the feed, and the way between them. */
const TOLD_MS = 200;
/** What changes is in force everywhere within this time (`applyBoundMs`); a cold back end gets fewer flows before. */
const SERVES_WITHIN_MS = smallIngressWorld.applyBoundMs + WARM_UP_MS;
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

/** @returns what the balancers take a start for, each liveness once; nothing where none knows it */
function livenessOf(world: IngressWorld, { startId }: StandInBackend): string[] {
  const known = world.balancers.flatMap(
    ({ process }) => process?.state.backends.find(startId) ?? [],
  );
  return [...new Set(known.map(({ registration }) => registration.liveness))];
}

for (let seed = 1; seed <= SEEDS; seed += 1) {
  t.test(`the next start is used at once, and the one before no more, seed ${seed}`, async (t) => {
    const { world, first } = await servingWorld(seed);
    const next = world.restartBackend(first);
    await world.run(TOLD_MS);
    t.same(livenessOf(world, first), ['dead']);
    t.same(livenessOf(world, next), ['alive']);
    await world.run(SERVES_WITHIN_MS);
    t.ok(next.acceptedFlows > 0, `${next.acceptedFlows} flows`);
    t.same(world.oracle.violations, []);
  });

  t.test(`a start that drained is not held against the next one, seed ${seed}`, async (t) => {
    const { world, first } = await servingWorld(seed);
    first.leave(true, () => undefined);
    await world.run(TOLD_MS);
    const next = world.restartBackend(first);
    await world.run(TOLD_MS);
    first.deliverHeldUpHeartbeat();
    await world.run(SERVES_WITHIN_MS);
    t.ok(next.acceptedFlows > 0, `${next.acceptedFlows} flows`);
    t.same(livenessOf(world, next), ['alive']);
    t.same(world.oracle.violations, []);
  });

  t.test(`what a start has sent and comes late, seed ${seed}`, async (t) => {
    const { world, first } = await servingWorld(seed);
    const moved = { host: '10.0.5.1', port: first.identity.address.port };
    const next = world.restartBackend(first, moved);
    await world.run(TOLD_MS);
    first.deliverHeldUpHeartbeat();
    first.deliverHeldUpDeparture();
    await world.run(TOLD_MS);
    t.same(livenessOf(world, first), ['dead'], 'the heartbeat');
    t.same(livenessOf(world, next), ['alive']);
    const departed = world.controls.map(({ process }) =>
      process?.state.replicated.departureOf(next.startId),
    );
    t.same(new Set(departed), new Set([undefined]), 'the departure ends the start that sent it');
    await world.run(SERVES_WITHIN_MS);
    t.ok(next.acceptedFlows > 0, `${next.acceptedFlows} flows`);
  });

  t.test(`control machines that have all started again, seed ${seed}`, async (t) => {
    const { world, first } = await servingWorld(seed);
    const next = world.restartBackend(first);
    await world.run(SERVED_MS);
    world.controls.forEach((control) => control.kill());
    await world.run(TOLD_MS);
    world.controls.forEach((control) => control.start(false));
    await world.run(SERVED_MS);
    first.deliverHeldUpHeartbeat();
    await world.run(TOLD_MS);
    t.same(livenessOf(world, first), ['dead']);
    t.same(livenessOf(world, next), ['alive']);
  });
}

for (const kind of restartFaultKinds) {
  t.test(`three times ${kind}`, async (t) => {
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
  t.test(`restarts among all other faults, seed ${seed}`, async (t) => {
    const report = await runIngressWorld({
      seed,
      faultCount: FAULTS,
      kinds: [...restartFaultKinds, ...restartFaultKinds, ...drawnFaultKinds],
      endsWithLoss: seed % 2 === 0,
    });
    t.same(report.violations, []);
  });
}
