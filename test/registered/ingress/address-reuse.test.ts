/**
 * @file Guards against a crashed back end that counts as alive again because of a delayed heartbeat, after a new back end
 * has started at its address.
 */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { SIMULATED_SERVICES } from '../../../src/proof/sim-registered/stand-in-operator.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;
const HEARTBEAT_DELAY_MS = 700;
/** One control tick, one feed tick and the network latency. */
const PROPAGATION_MS = 200;
const SEEDS = 4;

for (let seed = 1; seed <= SEEDS; seed += 1) {
  t.test(`a delayed heartbeat of a crashed back end, seed ${seed}`, async (t) => {
    const world = new IngressWorld(seed, smallIngressWorld);
    world.start();
    await world.run(FORMATION_MS);
    world.startClients();
    const [first] = world.backends;
    if (first === undefined) {
      throw new Error('No back end.');
    }
    const { address, id } = first.identity;
    first.crash();
    world.addBackend(SIMULATED_SERVICES[seed % SIMULATED_SERVICES.length] ?? 'alpha', address);
    const next = world.backends.at(-1)?.identity.id ?? '';
    await world.run(PROPAGATION_MS);
    t.same(livenessOf(world, id), ['dead'], 'after the first heartbeat of the next one');
    await world.run(HEARTBEAT_DELAY_MS);
    first.deliverHeldUpHeartbeat();
    await world.run(PROPAGATION_MS);
    t.same(livenessOf(world, id), ['dead'], 'after the delayed heartbeat');
    t.same(livenessOf(world, next), ['alive']);
    world.balancers[0]?.kill();
    world.balancers[0]?.start();
    await world.run(FORMATION_MS);
    t.same(livenessOf(world, id), ['dead'], 'also on a balancer that was just restarted');
    t.same(world.oracle.violations, []);
  });
}

/** @returns the distinct liveness values of a back end over all balancers that have it */
function livenessOf(world: IngressWorld, id: string): (string | undefined)[] {
  const found = world.balancers.flatMap(({ process }) => process?.state.backends.find(id) ?? []);
  return [...new Set(found.map(({ registration }) => registration.liveness))];
}
