/**
 * @file A back end crashes and the next one starts at its address at once, as its own service or another; a
 * heartbeat of the first one, held up by a cut, comes after that. No balancer takes the first one for alive.
 */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { SIMULATED_SERVICES } from '../../../src/proof/sim-registered/stand-in-operator.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;
const HELD_UP_MS = 700;
/** A tick of control, a tick of the feed, and the way between them. */
const TOLD_MS = 200;
const SEEDS = 4;

for (let seed = 1; seed <= SEEDS; seed += 1) {
  t.test(`a late heartbeat of a start that is over, seed ${seed}`, async (t) => {
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
    await world.run(TOLD_MS);
    t.same(livenessOf(world, id), ['dead'], 'once the next one is heard of');
    await world.run(HELD_UP_MS);
    first.deliverHeldUpHeartbeat();
    await world.run(TOLD_MS);
    t.same(livenessOf(world, id), ['dead'], 'after the late heartbeat');
    t.same(livenessOf(world, next), ['alive']);
    world.balancers[0]?.kill();
    world.balancers[0]?.start();
    await world.run(FORMATION_MS);
    t.same(livenessOf(world, id), ['dead'], 'also on a balancer that has just started');
    t.same(world.oracle.violations, []);
  });
}

/** @returns what the balancers that know a back end take it for, each once */
function livenessOf(world: IngressWorld, id: string): (string | undefined)[] {
  const known = world.balancers.flatMap(({ process }) => process?.state.backends.find(id) ?? []);
  return [...new Set(known.map(({ registration }) => registration.liveness))];
}
