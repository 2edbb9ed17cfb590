/** @file The balancers of a zone share health probes: each back end is probed often enough, and changes spread quickly. */
import t from 'tap';
import type { Backend } from '../../../src/managed/control/routing-config.js';
import type { ProbeResult } from '../../../src/managed/health/backend-report.js';
import {
  createHealthSharing,
  MAX_SHARED_RESULTS,
  recordResult,
  resultsToShare,
} from '../../../src/managed/health/health-sharing.js';
import {
  createProbeSchedule,
  dueProbes,
  recordObservation,
  endProbe,
  setProbeTarget,
  type ProbeSchedule,
} from '../../../src/managed/health/probe-schedule.js';
import { decodeGossip, encodeGossip, gossipKey } from '../../../src/managed/gossip/gossip-codec.js';
import { addCommand } from '../control/control-world.js';
import { TreeWorld } from '../dissemination/tree-world.js';

const ZONE = 'zone-0';
const INTERVAL_MS = 500;
const TICK_MS = 50;
const MAX_DATAGRAM_BYTES = 1_200;

function backendIn(zone: string, id: number): Backend {
  const address = { host: '10.5.0.1', port: id };
  return { id, serviceId: 1, address, healthAddress: address, zone, adminState: 'active' };
}

function scheduleOf(backends: readonly Backend[]): ProbeSchedule {
  const schedule = createProbeSchedule(INTERVAL_MS, ZONE);
  schedule.hasLease = true;
  backends.forEach((backend) => setProbeTarget(schedule, backend));
  return schedule;
}

/** @returns the number of probes by back end ID; each probe is answered at once */
function countProbes(
  schedule: ProbeSchedule,
  selfId: string,
  ids: readonly string[],
  fromMs: number,
  durationMs: number,
): Map<number, number> {
  const counts = new Map<number, number>();
  for (let nowMs = fromMs; nowMs < fromMs + durationMs; nowMs += TICK_MS) {
    for (const { backend } of dueProbes(schedule, { selfId, ids, version: ids.length }, nowMs)) {
      counts.set(backend.id, (counts.get(backend.id) ?? 0) + 1);
      endProbe(schedule, backend.id);
    }
  }
  return counts;
}

function memberIds(count: number): string[] {
  return Array.from({ length: count }, (_, number) => `balancer-${number}`);
}

t.test('a single balancer probes each back end once per interval', async (t) => {
  const backends = Array.from({ length: 10 }, (_, id) => backendIn(ZONE, id + 1));
  const counts = countProbes(scheduleOf(backends), 'balancer-0', ['balancer-0'], 0, 10_000);
  t.equal(counts.size, 10);
  t.ok([...counts.values()].every((count) => count >= 18 && count <= 22));
});

t.test('each back end has three probers, also after a balancer fails', async (t) => {
  const backends = Array.from({ length: 60 }, (_, id) => backendIn(ZONE, id + 1));
  const proberCounts = (ids: readonly string[]) => {
    const probers = new Map<number, number>();
    for (const id of ids) {
      for (const backendId of countProbes(scheduleOf(backends), id, ids, 0, 1_000).keys()) {
        probers.set(backendId, (probers.get(backendId) ?? 0) + 1);
      }
    }
    return [...probers.values()];
  };
  const ids = memberIds(10);
  t.same(new Set(proberCounts(ids)), new Set([3]));
  t.same(new Set(proberCounts(ids.slice(1))), new Set([3]));
});

t.test('the probe rate of a balancer is limited for any number of back ends', async (t) => {
  const backends = Array.from({ length: 2_000 }, (_, id) =>
    backendIn(id % 10 === 0 ? ZONE : 'zone-1', id + 1),
  );
  const schedule = scheduleOf(backends);
  const ids = memberIds(3);
  countProbes(schedule, 'balancer-0', ids, 0, 10_000);
  const counts = countProbes(schedule, 'balancer-0', ids, 10_000, 10_000);
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  t.ok(total > 400 && total < 600, `${total} probes in 10 s`);
});

t.test('a balancer probes other back ends only once their results are stale', async (t) => {
  const backends = Array.from({ length: 30 }, (_, id) => backendIn(ZONE, id + 1));
  const schedule = scheduleOf(backends);
  const ids = memberIds(20);
  const own = countProbes(schedule, 'balancer-0', ids, 0, 2_000);
  for (let nowMs = 2_000; nowMs < 12_000; nowMs += 1_000) {
    backends.forEach(({ id }) => recordObservation(schedule, id, nowMs));
    const counts = countProbes(schedule, 'balancer-0', ids, nowMs, 1_000);
    t.same([...counts.keys()].sort(), [...own.keys()].sort());
  }
  t.equal(countProbes(schedule, 'balancer-0', ids, 12_000, 15_000).size, 30);
});

t.test('changed results are sent first and repeated, unchanged ones in rotation', async (t) => {
  const sharing = createHealthSharing();
  const result = (backendId: number, state: 'ready' | 'draining'): ProbeResult => ({
    backendId,
    health: { backendId, incarnation: 4_000_000_000, state },
    load: {
      connections: 1_900,
      connectionLimit: 2_000,
      busySlots: 2,
      slots: 2,
      queuedRequests: 99,
    },
  });
  for (let id = 1; id <= 100; id += 1) {
    recordResult(sharing, result(id, 'ready'), 0, 0);
  }
  recordResult(sharing, result(77, 'draining'), 100, 2);
  recordResult(sharing, result(77, 'draining'), 200, 2);
  const first = resultsToShare(sharing, 300);
  t.match(first[0], { backendId: 77, ageMs: 100, health: { state: 'draining' } });
  t.equal(resultsToShare(sharing, 350)[0]?.backendId, 77);
  const third = resultsToShare(sharing, 400);
  t.notOk(third.some(({ backendId }) => backendId === 77));
  const sharedIds = new Set<number>();
  for (let turn = 0; turn < 30; turn += 1) {
    resultsToShare(sharing, 500 + turn).forEach(({ backendId }) => sharedIds.add(backendId));
  }
  t.equal(sharedIds.size, 100);

  for (let id = 1; id <= 100; id += 1) {
    recordResult(sharing, result(1_000_000_000 + id, 'draining'), 0, 2);
  }
  const largeMessage = resultsToShare(sharing, 50_000);
  t.equal(largeMessage.length, MAX_SHARED_RESULTS);
  const key = gossipKey('test-cluster-key');
  const message = { type: 'health' as const, zone: ZONE, results: largeMessage };
  const datagram = encodeGossip(message, key);
  t.ok(datagram.length <= MAX_DATAGRAM_BYTES, `${datagram.length} bytes`);
  t.same(decodeGossip(datagram, key)._unsafeUnwrap(), message);
});

t.test('a change seen by few balancers reaches the whole zone within 3 s', async (t) => {
  const world = new TreeWorld([20]);
  world.run(5_000);
  world.control.define('authd', 5_000);
  for (let port = 9_000; port < 9_030; port += 1) {
    const command = addCommand('authd', { host: '127.0.0.1', port });
    world.control.send({ ...command, zone: ZONE } as typeof command);
  }
  let draining = 0;
  world.onProbe = (backendId) => ({
    backendId,
    health: {
      backendId,
      incarnation: 1,
      state: backendId === draining ? 'draining' : 'ready',
    },
    load: undefined,
  });
  world.run(20_000);
  const before = world.probeCount;
  world.run(10_000);
  const probesPerSecond = (world.probeCount - before) / 10 / 30;
  t.ok(probesPerSecond <= 7, `${probesPerSecond} probes per second and back end`);

  const joining = world.start(ZONE);
  const knowsAll = () =>
    joining.state.views.size === 30 &&
    [...joining.state.views.values()].every(({ health }) => health !== undefined);
  t.ok(
    world.timeUntil(knowsAll, 10_000) < 1_000,
    'a joining balancer receives all results at once',
  );

  draining = [...world.control.state.cluster.routing.backends.keys()][7] ?? 0;
  const allKnow = () =>
    world.nodes.every(({ state }) => state.views.get(draining)?.health?.state === 'draining');
  t.notOk(allKnow());
  t.ok(world.timeUntil(allKnow, 10_000) < 3_000);
});
