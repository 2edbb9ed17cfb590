/** @file Membership: guards against lost data or a split cluster while members are added, replaced and removed. */
import t from 'tap';
import { controlStatus } from '../../../src/managed/control/control-status.js';
import { ControlNetwork } from './control-network.js';

/** Without failures, a cluster's log begins with the members, the no-op, the operators and the token key. */
const OPERATORS_ENTRY_INDEX = 3;

function status(network: ControlNetwork, nodeId: string) {
  return controlStatus(network.stateOf(nodeId), network.nowMs);
}

function voters(network: ControlNetwork): string[] {
  return status(network, network.awaitLeader())
    .members.filter(({ role }) => role === 'voter')
    .map(({ nodeId }) => nodeId);
}

function addVoter(network: ControlNetwork, nodeId: string): void {
  network.changeMembersUntilAccepted({ type: 'add-member', nodeId });
  network.changeMembersUntilAccepted({ type: 'promote-member', nodeId });
}

/** Removes and re-adds a machine that returned with an empty disk, as an operator would. */
function replaceMachine(network: ControlNetwork, nodeId: string): void {
  network.changeMembersUntilAccepted({ type: 'remove-member', nodeId });
  addVoter(network, nodeId);
}

function serviceCount(network: ControlNetwork, nodeId: string): number {
  return network.stateOf(nodeId).cluster.routing.services.size;
}

t.test('a cluster grows from one machine to three to five', async (t) => {
  const network = new ControlNetwork({ seed: 1, nodeIds: ['c1'] });
  network.awaitLeader();
  network.defineServiceUntilAccepted();
  for (const nodeId of ['c2', 'c3', 'c4', 'c5']) {
    network.addMachine(nodeId, ['c1']);
    addVoter(network, nodeId);
    network.defineServiceUntilAccepted();
  }
  t.strictSame(voters(network), ['c1', 'c2', 'c3', 'c4', 'c5']);
  network.crash('c1');
  network.crash('c2');
  network.defineServiceUntilAccepted();
  t.equal(serviceCount(network, network.awaitLeader()), 6);
});

t.test('no data is lost when two machines lose their disks one after the other', async (t) => {
  const network = new ControlNetwork({ seed: 2, nodeIds: ['c1', 'c2', 'c3'] });
  network.awaitLeader();
  for (let change = 0; change < 50; change += 1) {
    network.defineServiceUntilAccepted();
  }
  network.loseDisk('c1');
  network.run(500);
  replaceMachine(network, 'c1');
  network.loseDisk('c2');
  network.run(500);
  replaceMachine(network, 'c2');
  network.defineServiceUntilAccepted();
  network.run(500);
  t.strictSame(
    ['c1', 'c2', 'c3'].map((nodeId) => serviceCount(network, nodeId)),
    [51, 51, 51],
  );
});

t.test(
  'the last machine of three has no leader and answers nothing after two lose their disks',
  async (t) => {
    const network = new ControlNetwork({ seed: 3, nodeIds: ['c1', 'c2', 'c3'] });
    const leader = network.awaitLeader();
    network.defineServiceUntilAccepted();
    const lost = ['c1', 'c2', 'c3'].filter((nodeId) => nodeId !== leader);
    lost.forEach((nodeId) => network.loseDisk(nodeId));
    network.run(5_000);
    t.equal(network.leader(), undefined);
    t.match(network.query(leader).answer, { error: { kind: 'not-leader' } });
    for (const nodeId of lost) {
      t.equal(network.stateOf(nodeId).consensus.role.name, 'learner');
      t.equal(serviceCount(network, nodeId), 0);
    }
  },
);

t.test('a machine with an empty disk does not vote or acknowledge until it is added', async (t) => {
  const network = new ControlNetwork({ seed: 4, nodeIds: ['c1', 'c2', 'c3'] });
  const leader = network.awaitLeader();
  const [lost = '', other = ''] = ['c1', 'c2', 'c3'].filter((nodeId) => nodeId !== leader);
  network.loseDisk(lost);
  network.crash(other);
  const change = network.defineService(leader);
  network.run(3_000);
  t.match(change.outcome, { accepted: false, error: { kind: 'no-quorum' } });
  t.equal(network.leader(), undefined);
  t.match(status(network, leader).waiting, [{ nodeId: lost }]);
  network.start(other);
  network.awaitLeader();
  replaceMachine(network, lost);
  t.strictSame(voters(network), ['c1', 'c2', 'c3']);
});

t.test('a second membership change is refused while one is in progress', async (t) => {
  const network = new ControlNetwork({ seed: 5, nodeIds: ['c1', 'c2', 'c3'] });
  const leader = network.awaitLeader();
  network.run(500);
  const [one = '', other = ''] = ['c1', 'c2', 'c3'].filter((nodeId) => nodeId !== leader);
  const first = network.changeMembers(leader, { type: 'remove-member', nodeId: one });
  const second = network.changeMembers(leader, { type: 'remove-member', nodeId: other });
  t.match(second.outcome, { accepted: false, error: { kind: 'conflict' } });
  network.runUntil(() => first.outcome !== undefined, 1_000);
  t.match(first.outcome, { accepted: true });
});

t.test('a removal that would leave no quorum of responsive voters is refused', async (t) => {
  const network = new ControlNetwork({ seed: 6, nodeIds: ['c1', 'c2', 'c3'] });
  const leader = network.awaitLeader();
  network.run(500);
  const [dead = '', alive = ''] = ['c1', 'c2', 'c3'].filter((nodeId) => nodeId !== leader);
  network.crash(dead);
  network.run(1_000);
  const wrong = network.changeMembers(leader, { type: 'remove-member', nodeId: alive });
  t.match(wrong.outcome, { accepted: false, error: { kind: 'conflict' } });
  network.changeMembersUntilAccepted({ type: 'remove-member', nodeId: dead });
  t.equal(voters(network).length, 2);
});

t.test('a removed leader commits its removal and steps down', async (t) => {
  const network = new ControlNetwork({ seed: 7, nodeIds: ['c1', 'c2', 'c3'] });
  const leader = network.awaitLeader();
  network.run(500);
  network.changeMembersUntilAccepted({ type: 'remove-member', nodeId: leader });
  network.run(100);
  t.equal(network.stateOf(leader).consensus.role.name, 'learner');
  network.defineServiceUntilAccepted();
  t.notOk(voters(network).includes(leader));
});

t.test('crashes during bootstrap leave one cluster with one token key', async (t) => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const network = new ControlNetwork({ seed, nodeIds: ['c1', 'c2', 'c3'], lossRate: 0.1 });
    for (let crash = 0; crash < 4; crash += 1) {
      network.run(network.random.nextInt(400));
      network.restart(`c${1 + network.random.nextInt(3)}`);
    }
    network.awaitLeader();
    network.run(2_000);
    const clusterIds = network.consensusStates().map(({ clusterId }) => clusterId);
    const keys = [...network.machines.keys()].map((nodeId) =>
      JSON.stringify([...network.stateOf(nodeId).cluster.routing.keys.values()]),
    );
    t.equal(new Set(clusterIds).size, 1, `seed ${seed}`);
    t.equal(new Set(keys).size, 1, `seed ${seed}`);
    t.equal(network.stateOf('c1').cluster.routing.keys.size, 1, `seed ${seed}`);
  }
});

t.test('a crash between the operators and token key entries leaves one token key', async (t) => {
  let crashesBetween = 0;
  for (let seed = 1; seed <= 60; seed += 1) {
    const network = new ControlNetwork({ seed, nodeIds: ['c1', 'c2', 'c3'], lossRate: 0.2 });
    const longestLog = () =>
      Math.max(...network.consensusStates().map(({ log }) => log.last.index));
    network.runUntil(() => longestLog() >= OPERATORS_ENTRY_INDEX);
    network.run(network.random.nextInt(10));
    [...network.machines.keys()].forEach((nodeId) => network.restart(nodeId));
    crashesBetween += longestLog() === OPERATORS_ENTRY_INDEX ? 1 : 0;
    const { cluster } = network.stateOf(network.awaitLeader());
    t.equal(cluster.routing.keys.size, 1);
    t.equal(cluster.operators.size, 1);
  }
  t.ok(crashesBetween > 0, `${crashesBetween} crashes came between the two entries`);
});

t.test('a node with a different cluster key is refused with the reason', async (t) => {
  const network = new ControlNetwork({ seed: 10, nodeIds: ['c1', 'c2', 'c3'] });
  network.awaitLeader();
  network.addMachine('c4', ['c1', 'c2', 'c3'], 'another-key');
  network.run(1_000);
  t.match(status(network, 'c4').refusal, /cluster key/);
  t.strictSame(status(network, network.awaitLeader()).waiting, []);
});

t.test('a node of another cluster is refused with its name', async (t) => {
  const network = new ControlNetwork({ seed: 11, nodeIds: ['c1', 'c2', 'c3'] });
  network.awaitLeader();
  const foreignNode = network.addMachine('c4', []);
  network.run(1_000);
  const { consensus } = network.stateOf('c4');
  t.equal(consensus.role.name, 'leader');
  const { storageId, clusterId, term } = network.stateOf('c1').consensus;
  t.not(clusterId, consensus.clusterId);
  const linkAddress = network.stateOf('c1').join.linkAddress;
  const message = { type: 'timeout-now' as const, term };
  network.step(foreignNode, {
    type: 'peer-message',
    envelope: {
      type: 'peer',
      proof: network.stateOf('c1').proof,
      ...(clusterId !== undefined && { clusterId }),
      from: { nodeId: 'c1', storageId },
      replyTo: linkAddress,
      to: { nodeId: 'c4', storageId: consensus.storageId },
      message,
    },
  });
  network.run(100);
  t.match(status(network, 'c1').refusal, /c4 belongs to another cluster/);
});
