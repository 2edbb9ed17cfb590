/**
 * @file Soaks on virtual time: faults in series that overlap, on deployments of several sizes, and deployments
 * that are broken on purpose. A seed gives the same verdict on any machine.
 */
import t from 'tap';
import type { IngressProcess } from '../../../src/registered/daemon/ingress-process.js';
import type { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import type { IngressWorldOptions } from '../../../src/proof/sim-registered/world-parts.js';
import { runVirtualSoak } from '../../../src/proof/soak/virtual-soak.js';

const DURATION_MS = 40_000;
const small: Partial<IngressWorldOptions> = {};
const large: Partial<IngressWorldOptions> = {
  balancerCount: 24,
  backendCount: 16,
  clientCount: 40,
};

const runs = [
  ...Array.from({ length: 14 }, (_, index) => ({ seed: 1 + index, options: small })),
  ...Array.from({ length: 2 }, (_, index) => ({ seed: 101 + index, options: large })),
  // A control machine that had just started and knew of no other zone refused a proper order.
  { seed: 755, options: small },
];

for (const { seed, options } of runs) {
  t.test(`soak of seed ${seed}`, async (t) => {
    const report = await runVirtualSoak({
      seed,
      durationMs: DURATION_MS,
      endsWithLoss: seed % 2 === 0,
      options,
    });
    t.same(report.violations, []);
    t.ok(report.servedRequests > 0);
  });
}

for (let seed = 1; seed <= 8; seed += 1) {
  t.test(`soak with back ends that start again, seed ${seed}`, async (t) => {
    const report = await runVirtualSoak({
      seed,
      durationMs: DURATION_MS,
      endsWithLoss: seed % 2 === 0,
      hasRestarts: true,
    });
    t.same(report.violations, []);
    t.ok(report.servedRequests > 0);
  });
}

t.test('a seed gives one verdict', async (t) => {
  const run = { seed: 7, durationMs: DURATION_MS, endsWithLoss: false };
  t.same(await runVirtualSoak(run), await runVirtualSoak(run));
});

const MUTANT_SEEDS = 3;

/** @returns the checks that a broken deployment fails over some seeds, each once */
async function failedChecks(prepare: (world: IngressWorld) => void): Promise<Set<string>> {
  const failed = new Set<string>();
  for (let seed = 1; seed <= MUTANT_SEEDS; seed += 1) {
    const run = { seed, durationMs: DURATION_MS, endsWithLoss: true, prepare };
    const { violations } = await runVirtualSoak(run);
    violations.forEach(({ check }) => failed.add(check));
  }
  return failed;
}

/** Breaks each balancer that runs, and each that starts later. */
function breakBalancers(world: IngressWorld, breakOne: (process: IngressProcess) => void): void {
  for (const balancer of world.balancers) {
    const start = balancer.start.bind(balancer);
    const breakRunning = () => balancer.process && breakOne(balancer.process);
    balancer.start = () => {
      start();
      breakRunning();
    };
    breakRunning();
  }
}

t.test('mutant: a balancer keeps the first configuration that it gets', async (t) => {
  const failed = await failedChecks((world) =>
    breakBalancers(world, ({ state }) => {
      const { routes } = state;
      const take = routes.applyUpdate.bind(routes);
      routes.applyUpdate = (update) => (routes.config === undefined ? take(update) : 'known');
    }),
  );
  t.ok(failed.has('config'), [...failed].join(' '));
});

t.test('mutant: a balancer forgets the opens that it placed, and asks nobody', async (t) => {
  const failed = await failedChecks((world) =>
    breakBalancers(world, ({ state }) => {
      state.opens.recall = () => undefined;
      Object.defineProperty(state.peers, 'size', { get: () => 0 });
    }),
  );
  t.ok(failed.has('flow'), [...failed].join(' '));
});
