/** @file Leadership: guards against answers from a deposed, isolated or failed leader, and against failed transfers. */
import t from 'tap';
import { ControlNetwork, OPERATOR } from './control-network.js';

const HOUR_MS = 60 * 60 * 1000;

function threeMachines(seed: number) {
  return new ControlNetwork({ seed, nodeIds: ['c1', 'c2', 'c3'] });
}

function othersThan(network: ControlNetwork, nodeId: string): string[] {
  return [...network.machines.keys()].filter((other) => other !== nodeId);
}

t.test('a leader isolated for an hour refuses reads and commands, then follows', async (t) => {
  const network = new ControlNetwork({ seed: 1, nodeIds: ['c1', 'c2', 'c3'], tickMs: 200 });
  const old = network.awaitLeader();
  const others = othersThan(network, old);
  network.partition([old], others);
  const pendingChange = network.defineService(old, 1000);
  const pendingRead = network.query(old);
  network.runUntil(() => pendingChange.outcome !== undefined, 2_000);
  t.match(pendingChange.outcome, { accepted: false, error: { kind: 'no-quorum' } });
  t.match(pendingRead.answer, { error: { kind: 'no-quorum' } });
  network.defineServiceUntilAccepted(2000);
  for (let minute = 0; minute < 60; minute += 1) {
    network.run(HOUR_MS / 60);
    const read = network.query(old);
    const change = network.defineService(old);
    t.match(read.answer, { error: { kind: 'not-leader' } });
    t.match(change.outcome, { accepted: false, error: { kind: 'not-leader' } });
  }
  const termBefore = network.stateOf(network.awaitLeader()).consensus.term;
  network.heal();
  network.run(2_000);
  t.equal(
    network.stateOf(network.awaitLeader()).consensus.term,
    termBefore,
    'it starts no new term',
  );
  const names = [...network.stateOf(old).cluster.routing.services.values()].map(({ name }) => name);
  t.strictSame(names, ['service-2000']);
});

t.test('a frozen leader keeps its role but serves no reads and accepts no commands', async (t) => {
  const network = threeMachines(2);
  const old = network.awaitLeader();
  network.machine(old).isFrozen = true;
  network.run(1_000);
  network.defineServiceUntilAccepted(1000);
  network.run(HOUR_MS / 60);
  t.equal(network.stateOf(old).consensus.role.name, 'leader');
  const read = network.query(old);
  const change = network.defineService(old, 2000);
  t.equal(read.answer, undefined);
  network.machine(old).isFrozen = false;
  network.run(1_000);
  t.match(read.answer, { error: {} });
  t.match(change.outcome, { accepted: false });
  const { services } = network.stateOf(old).cluster.routing;
  t.strictSame(
    [...services.values()].map(({ name }) => name),
    ['service-1000'],
  );
});

t.test('a read waits for responses that are sent after it arrived', async (t) => {
  const network = threeMachines(3);
  const leader = network.awaitLeader();
  const read = network.query(leader);
  t.equal(read.answer, undefined, 'earlier responses do not count');
  network.runUntil(() => read.answer !== undefined, 1_000);
  t.equal(read.answer?.error, undefined);
});

t.test('a planned stop transfers leadership without an election timeout', async (t) => {
  const network = threeMachines(4);
  const old = network.awaitLeader();
  network.run(1_000);
  network.step(network.machine(old), { type: 'stop' });
  const isHandedOver = () => network.leader() !== undefined && network.leader() !== old;
  t.ok(network.runUntil(isHandedOver, 100));
  t.not(network.stateOf(old).consensus.role.name, 'leader');
});

t.test('a planned stop does not transfer leadership to a voter that is down', async (t) => {
  const network = threeMachines(5);
  const old = network.awaitLeader();
  const [first = '', second = ''] = othersThan(network, old);
  network.run(500);
  network.crash(first);
  network.run(400);
  network.step(network.machine(old), { type: 'stop' });
  t.ok(network.runUntil(() => network.leader() === second, 100));
});

t.test('a leader with a full disk acknowledges nothing and is replaced', async (t) => {
  const network = threeMachines(6);
  const old = network.awaitLeader();
  network.machine(old).disk.failsSyncs = true;
  const change = network.defineService(old);
  network.runUntil(() => change.outcome !== undefined, 1_000);
  t.match(change.outcome, { accepted: false, error: { kind: 'storage-failed' } });
  t.match(network.query(old).answer, { error: { kind: 'storage-failed' } });
  network.defineServiceUntilAccepted(3000);
  t.not(network.leader(), old);
});

t.test('a voter whose sync fails does not count towards a commit', async (t) => {
  const network = threeMachines(7);
  const leader = network.awaitLeader();
  const [full = '', other = ''] = othersThan(network, leader);
  network.run(500);
  network.machine(full).disk.failsSyncs = true;
  network.defineServiceUntilAccepted();
  network.crash(other);
  const change = network.defineService(leader);
  network.run(2_000);
  t.match(change.outcome, { accepted: false, error: { kind: 'no-quorum' } });
});

t.test(
  'all machines recover their state when they restart after hundreds of commands',
  async (t) => {
    const network = new ControlNetwork({
      seed: 8,
      nodeIds: ['c1', 'c2', 'c3'],
      snapshotIntervalEntries: 100,
      trailingEntries: 20,
    });
    network.awaitLeader();
    for (let number = 1000; number < 1350; number += 1) {
      network.defineServiceUntilAccepted(number);
    }
    for (const nodeId of network.machines.keys()) {
      network.restart(nodeId);
      const { services } = network.stateOf(nodeId).cluster.routing;
      t.ok(services.size >= 340, `${nodeId} has ${services.size} services before any message`);
    }
    network.awaitLeader();
    network.run(1_000);
    for (const nodeId of network.machines.keys()) {
      t.equal(network.stateOf(nodeId).cluster.routing.services.size, 350);
    }
  },
);

t.test('timestamps of operator commands never decrease', async (t) => {
  const network = threeMachines(9);
  const leader = network.awaitLeader();
  network.defineServiceUntilAccepted();
  const { cluster } = network.stateOf(leader);
  const first = cluster.timeMs;
  t.ok(first > Date.UTC(2026, 11, 2));
  network.stateOf(leader).wallTimeMs = 0;
  const change = network.defineService(leader);
  network.runUntil(() => change.outcome !== undefined, 19);
  const times = cluster.owners.get(OPERATOR)?.auditLog.map(({ atMs }) => atMs) ?? [];
  t.equal(times.length, 2);
  t.ok((times[1] ?? 0) >= first);
});
