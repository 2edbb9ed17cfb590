/** @file Guards the distribution of configuration and leases over relays when relays, balancers or control fail. */
import t from 'tap';
import { isLeaseHeld, LEASE_DURATION_MS } from '../../../src/managed/dissemination/lease.js';
import {
  balancerReports,
  disseminationStatus,
} from '../../../src/managed/dissemination/publisher.js';
import { TreeWorld, type TreeNode } from './tree-world.js';

const SETTLE_MS = 30_000;

function settledWorld(zoneSizes: readonly number[]): TreeWorld {
  const world = new TreeWorld(zoneSizes);
  world.run(SETTLE_MS);
  world.change();
  world.timeUntil(() => world.isInForceEverywhere(), 1_000);
  return world;
}

/** @returns the first balancer that is, or is not, a relay */
function findNode({ nodes }: TreeWorld, isRelay: boolean): TreeNode {
  const node = nodes.find(({ state }) => state.subscription.plan.isRelay === isRelay);
  if (node === undefined) {
    throw new Error('No balancer matches.');
  }
  return node;
}

function holdsLease(world: TreeWorld, { state }: TreeNode): boolean {
  return isLeaseHeld(state.subscription.lease, world.network.nowMs);
}

function inForceIndex({ control, network }: TreeWorld): number {
  const { publisher, leaseAuthority } = control.state;
  return disseminationStatus(publisher, leaseAuthority, network.nowMs).inForceIndex;
}

t.test(
  'two relays of each zone link to control, and all balancers get changes and leases',
  async (t) => {
    const world = settledWorld([12, 9]);
    t.equal(world.controlLinks, 4);
    t.ok(world.nodes.every((node) => holdsLease(world, node)));
    world.change();
    t.ok(world.timeUntil(() => world.isInForceEverywhere(), 1_000) < 100);
    t.ok(world.timeUntil(() => inForceIndex(world) === world.committedIndex, 5_000) < 1_000);
    const reports = balancerReports(world.control.state.publisher);
    const names = world.nodes.map(({ state }) => state.options.balancerId).sort();
    t.same(reports.map(({ balancerId }) => balancerId).sort(), names);
  },
);

t.test('when a relay fails, changes reach all balancers within seconds', async (t) => {
  const world = settledWorld([12]);
  world.kill(findNode(world, true));
  world.change();
  t.ok(world.timeUntil(() => world.isInForceEverywhere(), 20_000) < 2_000);
  t.ok(world.timeUntil(() => inForceIndex(world) === world.committedIndex, 60_000) < 20_000);
  t.ok(world.nodes.every((node) => !node.isUp || holdsLease(world, node)));
  world.run(SETTLE_MS);
  t.equal(world.controlLinks, 2, 'a new relay has taken over');
});

t.test('a balancer that joins while control is down is ready within a second', async (t) => {
  const world = settledWorld([5, 5]);
  world.stopControl();
  world.run(1_000);
  const joining = world.start('zone-1');
  const isReady = () => joining.state.position.index === world.committedIndex;
  t.ok(world.timeUntil(isReady, 10_000) < 1_000);
});

t.test('all leases expire while control is down and are granted again afterwards', async (t) => {
  const world = settledWorld([6, 3]);
  world.stopControl();
  world.run(LEASE_DURATION_MS + 100);
  t.notOk(
    world.nodes.some((node) => holdsLease(world, node)),
    'balancers do not extend leases in a cycle',
  );
  world.run(60_000);
  t.notOk(world.nodes.some((node) => holdsLease(world, node)));
  world.isControlUp = true;
  const allHold = () => world.nodes.every((node) => holdsLease(world, node));
  t.ok(world.timeUntil(allHold, 120_000) < 60_000);
});

t.test('a disconnected balancer is reported until its lease has expired', async (t) => {
  const world = settledWorld([8]);
  const cutOff = findNode(world, false);
  world.kill(cutOff);
  const before = world.committedIndex;
  world.change();
  world.run(2_000);
  t.equal(inForceIndex(world), before);
  const behind = balancerReports(world.control.state.publisher).filter(
    ({ index }) => index < world.committedIndex,
  );
  t.same(
    behind.map(({ balancerId }) => balancerId),
    [cutOff.state.options.balancerId],
  );
  world.run(2 * LEASE_DURATION_MS);
  t.equal(inForceIndex(world), world.committedIndex);
});
