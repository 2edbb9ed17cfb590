/** @file Fifty balancers: promises under faults, and what a balancer sends and gets does not grow with them. */
import t from 'tap';
import type { DrawnFaultKind } from '../../../src/proof/sim-registered/drawn-faults.js';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const MANY = 50;
const FEW = 8;
/** Two back ends take one flow in one of some thousand opens only. */
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
/** Copies of opens reach another balancer where the first one died or its answer was lost. */
const copyKinds: readonly DrawnFaultKind[] = ['datagrams-lost', 'balancer-killed'];

for (let seed = 1; seed <= 3; seed += 1) {
  t.test(`${MANY} balancers under faults of seed ${seed}`, async (t) => {
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

t.test(`mutant: ${MANY} balancers of which none remembers an open of another`, async (t) => {
  let isCaught = false;
  for (let seed = 1; seed <= 6 && !isCaught; seed += 1) {
    const run = { seed, faultCount: 20, kinds: copyKinds, endsWithLoss: false };
    const options = { balancerCount: MANY, clientCount: MANY_CLIENTS };
    const whole = await runIngressWorld({ ...run, options });
    t.same(whole.violations, [], `seed ${seed} unbroken`);
    const broken = await runIngressWorld({ ...run, options, prepare: forgetOpens });
    isCaught = broken.violations.some(({ check }) => check === 'flow');
  }
  t.ok(isCaught);
});

/** No memory of opens at all, neither of those placed here nor of those told. */
function forgetOpens(world: IngressWorld): void {
  for (const { process } of world.balancers) {
    if (process !== undefined) {
      process.state.opens.recall = () => undefined;
    }
  }
}

const CLIENTS_PER_BALANCER = 2;
const MOST_GROWTH = 1.5;
const BUDGET_BYTES_PER_S = 10_000;

/**
 * @param prepare breaks the world, for mutants
 * @returns bytes a second between processes that one balancer sends and gets on the mean, clients in proportion
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

/** Each balancer tells all others of each open, as if there were no holders. */
function tellAll(world: IngressWorld): void {
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

t.test('control bytes of a balancer grow by less than a half from few to many', async (t) => {
  const few = await controlBytesPerS(FEW);
  const many = await controlBytesPerS(MANY);
  t.comment(`${Math.round(few)} bytes a second at ${FEW}, ${Math.round(many)} at ${MANY}`);
  t.ok(many < MOST_GROWTH * few, `${few} to ${many}`);
  t.ok(many < BUDGET_BYTES_PER_S, 'the budget of control for one balancer');
});

t.test('mutant: each balancer tells all others of each open', async (t) => {
  const few = await controlBytesPerS(FEW, tellAll);
  const many = await controlBytesPerS(MANY, tellAll);
  t.comment(`${Math.round(few)} bytes a second at ${FEW}, ${Math.round(many)} at ${MANY}`);
  t.ok(many > MOST_GROWTH * few, 'it grows with the balancers');
});
