/** @file Guards against failed requests and violations in a simulated deployment without faults. */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;

async function startWorld(seed: number): Promise<IngressWorld> {
  const world = new IngressWorld(seed, smallIngressWorld);
  world.start();
  await world.run(FORMATION_MS);
  world.startClients();
  return world;
}

t.test('the control group forms with all machines, and balancers become ready', async (t) => {
  const world = await startWorld(1);
  const leaders = world.controls.filter(
    ({ process }) => process?.state.consensus.role.name === 'leader',
  );
  t.equal(leaders.length, 1, 'one leader');
  const members = leaders[0]?.process?.state.consensus.memberships.at(-1)?.membership.members;
  t.equal(members?.filter(({ role }) => role === 'voter').length, 5, 'five voters');
  t.ok(world.balancers.every(({ isReady }) => isReady));
});

t.test(
  'requests are served while back ends drain, balancers restart and routes change',
  async (t) => {
    const world = await startWorld(2);
    await world.run(3_000);
    for (const backend of world.backends.slice(0, 2)) {
      world.addBackend(backend.identity.service);
      backend.leave(true, () => undefined);
    }
    await world.run(4_000);
    for (const balancer of world.balancers) {
      balancer.process?.beginStop();
      await world.run(2_000);
      balancer.kill();
      balancer.start();
      await world.run(1_500);
    }
    world.operator.declareNext();
    await world.run(8_000);
    t.same(world.oracle.violations, []);
    t.ok(world.oracle.servedRequests > 400, `${world.oracle.servedRequests} served`);
    const failed = world.clients.reduce((sum, client) => sum + client.failedRequests, 0);
    t.ok(failed < 10, `${failed} failed`);
  },
);
