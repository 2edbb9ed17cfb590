/** @file Guards against violations with 50 balancers, and against control traffic per balancer that grows with the fleet. */
import t from 'tap';
import type { DrawnFaultKind } from '../../../src/proof/sim-registered/drawn-faults.js';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const MANY = 50;
const FEW = 8;
/** Enough opens for the mutant to break a flow, which happens about once in thousands. */
const MANY_CLIENTS = 60;
const FORMATION_MS = 6_000;
const MEASURED_MS = 10_000;
const BALANCER_HOSTS = '10.0.3.';
const CONTROL_HOSTS = '10.0.1.';
const kinds: readonly DrawnFaultKind[] = [
  'balancer-killed',
  'balancer-cut',
  'datagrams-lost',
  'control-killed',
  'all-controls-killed',
  'backend-replaced',
];
/** Faults after which copies of an open reach another balancer. */
const copyKinds: readonly DrawnFaultKind[] = ['datagrams-lost', 'balancer-killed'];

for (let seed = 1; seed <= 3; seed += 1) {
  t.test(`${MANY} balancers under random faults, seed ${seed}`, async (t) => {
    const report = await runIngressWorld({
      seed,
      faultCount: 8,
      kinds,
      endsWithLoss: false,
      options: { balancerCount: MANY },
    });
    t.same(report.violations, []);
    t.ok(report.servedRequests > 0);
  });
}

t.test(`mutant: ${MANY} balancers without memory of opens`, async (t) => {
  let isCaught = false;
  for (let seed = 1; seed <= 6 && !isCaught; seed += 1) {
    const run = { seed, faultCount: 20, kinds: copyKinds, endsWithLoss: false };
    const options = { balancerCount: MANY, clientCount: MANY_CLIENTS };
    const baseline = await runIngressWorld({ ...run, options });
    t.same(baseline.violations, [], `seed ${seed} without the mutation`);
    const mutant = await runIngressWorld({ ...run, options, prepare: forgetOpens });
    isCaught = mutant.violations.some(({ check }) => check === 'flow');
  }
  t.ok(isCaught);
});

/** Disables the memory of opens, both local ones and those of other balancers. */
function forgetOpens(world: IngressWorld): void {
  for (const { process } of world.balancers) {
    if (process !== undefined) {
      process.state.opens.recall = () => undefined;
    }
  }
}

const CLIENTS_PER_BALANCER = 2;
const MAX_GROWTH = 1.5;
const BUDGET_BYTES_PER_S = 10_000;

/**
 * @param prepare mutation of the world, if any
 * @returns mean control traffic of a balancer, sent and received, in bytes per second; clients scale with balancers
 */
async function controlBytesPerS(
  balancerCount: number,
  prepare: (world: IngressWorld) => void = () => undefined,
): Promise<number> {
  const clientCount = CLIENTS_PER_BALANCER * balancerCount;
  const world = new IngressWorld(1, { ...smallIngressWorld, balancerCount, clientCount });
  world.start();
  await world.run(FORMATION_MS);
  prepare(world);
  world.startClients();
  await world.run(MEASURED_MS);
  let bytes = 0;
  const isInternal = (host: string) =>
    host.startsWith(BALANCER_HOSTS) || host.startsWith(CONTROL_HOSTS);
  world.wires.onSent = (from, to, sentBytes) => {
    if (isInternal(from) && isInternal(to)) {
      const ends = [from, to].filter((host) => host.startsWith(BALANCER_HOSTS)).length;
      bytes += ends * sentBytes;
    }
  };
  await world.run(MEASURED_MS);
  return (bytes * 1_000) / MEASURED_MS / balancerCount;
}

/** Makes all balancers notify and query every other balancer about each open, instead of its holders. */
function notifyAllBalancers(world: IngressWorld): void {
  const all = world.balancers.map(({ host }) => ({
    name: host,
    zone: 'zone-a',
    peerAddress: { host, port: 7_700 },
  }));
  for (const { host, process } of world.balancers) {
    if (process !== undefined) {
      process.state.peers.holdersOf = () => all.filter(({ name }) => name !== host);
    }
  }
}

t.test(
  'control traffic per balancer grows by less than half from few to many balancers',
  async (t) => {
    const few = await controlBytesPerS(FEW);
    const many = await controlBytesPerS(MANY);
    t.comment(`${Math.round(few)} bytes per second at ${FEW}, ${Math.round(many)} at ${MANY}`);
    t.ok(many < MAX_GROWTH * few, `${few} to ${many}`);
    t.ok(many < BUDGET_BYTES_PER_S, 'within the control traffic budget of a balancer');
  },
);

t.test('mutant: each balancer notifies all others of each open', async (t) => {
  const few = await controlBytesPerS(FEW, notifyAllBalancers);
  const many = await controlBytesPerS(MANY, notifyAllBalancers);
  t.comment(`${Math.round(few)} bytes per second at ${FEW}, ${Math.round(many)} at ${MANY}`);
  t.ok(many > MAX_GROWTH * few, 'it grows with the number of balancers');
});
