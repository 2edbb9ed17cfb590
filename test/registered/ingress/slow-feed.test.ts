/**
 * @file Guards against delayed departures and configurations when the configuration grows over slow balancer links, e.g. if
 * outdated versions queue ahead of departures, or a restarted balancer abandons a feed before its first message is complete.
 */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;
const SETTLE_MS = 8_000;
/** 2 and 51 Mbit/s. */
const BALANCER_BYTES_PER_MS = 250;
const CONTROL_BYTES_PER_MS = 6_400;
/** 8 kbit/s: too slow for any feed encoding. */
const INSUFFICIENT_BYTES_PER_MS = 1;
const FEW_ROUTES = 870;
const MANY_ROUTES = 2_710;
/** Time between two configuration changes. */
const CHANGE_INTERVAL_MS = 500;
/** Configuration changes; every second one comes with a back end replacement and a balancer restart. */
const STEPS = 16;
const RESTART_MS = 300;
const SEEDS = 3;

interface Scenario {
  readonly seed: number;
  /** Link capacity of a balancer, per direction. */
  readonly balancerBytesPerMs: number;
  readonly areBalancersRestarted: boolean;
}

/** @returns the failed checks */
async function runGrowingConfig(scenario: Scenario): Promise<string[]> {
  const { seed, balancerBytesPerMs, areBalancersRestarted } = scenario;
  const world = new IngressWorld(seed, {
    ...smallIngressWorld,
    balancerCount: 8,
    backendCount: 12,
    drainBoundMs: 4_000,
    applyBoundMs: 4_000,
    contactMs: 5_000,
  });
  world.operator.idleRouteCount = FEW_ROUTES;
  world.start();
  await world.run(FORMATION_MS);
  world.controls.forEach(({ address }) =>
    world.wires.limitStreams(address.host, CONTROL_BYTES_PER_MS),
  );
  world.balancers.forEach(({ host }) => world.wires.limitStreams(host, balancerBytesPerMs));
  world.startClients();
  world.operator.idleRouteCount = MANY_ROUTES;
  for (let step = 0; step < STEPS; step += 1) {
    world.operator.declareNext();
    if (step % 2 === 0) {
      replaceBackend(world, step / 2);
    }
    if (areBalancersRestarted && step % 2 === 0) {
      restartBalancer(world, step / 2);
    }
    await world.run(CHANGE_INTERVAL_MS);
  }
  await world.run(SETTLE_MS);
  t.ok(world.oracle.servedRequests > 0, `seed ${seed}: requests are served`);
  return [...new Set(world.oracle.violations.map(({ check }) => check))].sort();
}

/** Drains a back end and adds another one of the same service. */
function replaceBackend(world: IngressWorld, number: number): void {
  const backend = world.backends[number];
  if (backend === undefined) {
    throw new Error('There is no back end to replace.');
  }
  world.addBackend(backend.identity.service);
  backend.leave(true, () => undefined);
}

function restartBalancer({ balancers, clock }: IngressWorld, number: number): void {
  const balancer = balancers[number % balancers.length];
  balancer?.kill();
  clock.after(RESTART_MS, () => balancer?.start());
}

for (let seed = 1; seed <= SEEDS; seed += 1) {
  t.test(
    `configuration growth, departures and restarts over slow links, seed ${seed}`,
    async (t) => {
      const failed = await runGrowingConfig({
        seed,
        balancerBytesPerMs: BALANCER_BYTES_PER_MS,
        areBalancersRestarted: true,
      });
      t.same(failed, []);
    },
  );
}

t.test('the checks detect a link that is too slow for the feed', async (t) => {
  const failed = await runGrowingConfig({
    seed: 1,
    balancerBytesPerMs: INSUFFICIENT_BYTES_PER_MS,
    areBalancersRestarted: false,
  });
  t.strictSame(failed, ['config', 'drain']);
});
