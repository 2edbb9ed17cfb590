/** @file The replicated list of back ends survives a restart of all processes, before any heartbeat arrives. */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;
const SEED_COUNT = 5;

t.test('balancers have all back ends within a second of a full restart', async (t) => {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    // Longer than the time between the restart and the check.
    const options = { ...smallIngressWorld, heartbeatIntervalMs: 5_500 };
    const world = new IngressWorld(seed, options);
    world.start();
    await world.run(FORMATION_MS);
    world.controls.forEach((control) => control.powerOff());
    world.balancers.forEach((balancer) => balancer.kill());
    await world.run(500);
    world.controls.forEach((control) => control.start(false));
    world.balancers.forEach((balancer) => balancer.start());
    await world.run(1_000);
    const backendCounts = world.balancers.map(({ process }) => process?.state.backends.size);
    t.same(backendCounts, [6, 6, 6, 6], `seed ${seed}`);
  }
});

t.test('a back end that deregisters is removed from the list', async (t) => {
  const world = new IngressWorld(1, smallIngressWorld);
  world.start();
  await world.run(FORMATION_MS);
  const [departing] = world.backends;
  departing?.leave(false, () => undefined);
  await world.run(1_000);
  for (const { process } of world.controls) {
    t.equal(process?.state.replicated.hasBackend(departing?.identity.id ?? ''), false);
    t.equal([...(process?.state.replicated.allBackends() ?? [])].length, 5);
  }
});
