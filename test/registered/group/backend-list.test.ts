/** @file The list of back ends outlives a restart of the whole group, without a heartbeat. */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;
const SEEDS = 5;

t.test('balancers know all back ends within a second of a restart of everything', async (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    // Heartbeats so far apart that none comes in time.
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
    const known = world.balancers.map(({ process }) => process?.state.backends.size);
    t.same(known, [6, 6, 6, 6], `seed ${seed}`);
  }
});

t.test('a back end that deregistered is dropped from the list', async (t) => {
  const world = new IngressWorld(1, smallIngressWorld);
  world.start();
  await world.run(FORMATION_MS);
  const [leaving] = world.backends;
  leaving?.leave(false, () => undefined);
  await world.run(1_000);
  for (const { process } of world.controls) {
    t.equal(process?.state.replicated.hasBackend(leaving?.identity.id ?? ''), false);
    t.equal([...(process?.state.replicated.allBackends() ?? [])].length, 5);
  }
});
