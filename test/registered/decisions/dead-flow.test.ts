/**
 * @file Flows of crashed back ends must be reset once two independent sources agree, and never on the
 * evidence of one alone.
 */
import t from 'tap';
import { BackendTable } from '../../../src/registered/ingress/backend-table.js';
import { isProvenDead } from '../../../src/registered/decisions/dead-flow.js';
import { FlowActivities } from '../../../src/registered/ingress/flow-activity.js';
import { flowKeyOf, type PacketView } from '../../../src/registered/ingress/packet-view.js';
import {
  defaultSwitches,
  parseSwitches,
} from '../../../src/registered/decisions/mechanism-switches.js';
import type { DrawnFaultKind } from '../../../src/proof/sim-registered/drawn-faults.js';
import type { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';
import { PLAIN_PACKET } from '../ingress/client-packets.js';
import { recordOf, applyFirstHeartbeat } from './backend-records.js';

const HEARTBEAT_MS = 1_200;
const PACKET: PacketView = { ...PLAIN_PACKET, sequence: 500, acknowledged: 40, dataLength: 100 };
const KEY = flowKeyOf(PACKET);

/** All back ends share one address. */
function backendIn(table: BackendTable, number: number, heartbeatAtMs: number) {
  return applyFirstHeartbeat(
    table,
    recordOf(number, { address: { host: '10.0.2.1', port: 9_000 } }),
    heartbeatAtMs,
  );
}

t.test('evidence that is enough for a reset, and evidence that is not', async (t) => {
  const backend = backendIn(new BackendTable(HEARTBEAT_MS), 1, 0);
  const isDead = (retransmissions: number, isReplaced = false, isFeedCurrent = true) =>
    isProvenDead(
      backend,
      { unacknowledged: { retransmissions, sinceMs: 1_000 }, isReplaced, isFeedCurrent },
      defaultSwitches,
    );
  t.notOk(isDead(5), 'heartbeats arrive');
  Object.assign(backend.registration, { liveness: 'suspect' });
  t.notOk(isDead(2), 'suspect, with two retransmissions');
  t.ok(isDead(3));
  t.notOk(isDead(3, false, false), 'the feed is not current');
  t.notOk(isDead(0, true), 'a suspect back end may still use its address');
  Object.assign(backend.registration, { liveness: 'dead' });
  t.notOk(isDead(0), 'missing heartbeats alone');
  t.notOk(isDead(2), 'two retransmissions may be lost datagrams');
  t.ok(isDead(3));
  t.ok(isDead(0, true), 'another back end is alive at its address');
  t.notOk(
    isProvenDead(
      backend,
      {
        unacknowledged: { retransmissions: 9, sinceMs: 1_000 },
        isReplaced: true,
        isFeedCurrent: true,
      },
      parseSwitches('deadFlows=left')._unsafeUnwrap(),
    ),
  );
  backend.local.recordProgress(900);
  t.ok(isDead(3), 'progress before the unacknowledged data');
  backend.local.recordProgress(1_100);
  t.notOk(isDead(9, true), 'progress since the unacknowledged data');
});

t.test('counts retransmissions, but not datagrams duplicated by the network', async (t) => {
  const table = new BackendTable(HEARTBEAT_MS);
  const backend = backendIn(table, 1, 0);
  const activities = new FlowActivities(() => 15_000, 100);
  const retransmissionsAt = (atMs: number, packet: Partial<PacketView> = {}) =>
    activities.recordPacket(KEY, backend, { ...PACKET, ...packet }, atMs)?.retransmissions;
  t.equal(retransmissionsAt(1_000), 0);
  t.equal(retransmissionsAt(1_001), 0, 'duplicated');
  t.equal(retransmissionsAt(1_200), 1);
  t.equal(retransmissionsAt(1_600), 2);
  t.equal(backend.local.lastProgressAtMs, Number.NEGATIVE_INFINITY, 'no progress');
  t.equal(retransmissionsAt(2_000, { sequence: 600, acknowledged: 90 }), 0, 'the next request');
  t.equal(backend.local.lastProgressAtMs, 2_000);
});

t.test('a back end at the same address is evidence only while it is alive', async (t) => {
  const table = new BackendTable(HEARTBEAT_MS);
  const first = backendIn(table, 1, 0);
  t.notOk(table.isReplaced(first));
  const second = backendIn(table, 2, 5_000);
  t.ok(table.isReplaced(first));
  t.notOk(table.isReplaced(second));
  Object.assign(second.registration, { liveness: 'suspect' });
  t.notOk(table.isReplaced(first));
});

const FAULT_KINDS: readonly DrawnFaultKind[] = [
  'backend-crashed',
  'backend-cut-from-control',
  'datagrams-lost',
  'control-cut',
  'all-controls-killed',
  'balancer-frozen',
  'backend-reborn',
];
/** Requests of a single packet, which are lost as a whole. */
const SINGLE_PACKET_REQUESTS = { requestPartsAtMs: [0], clientCount: 30 };

t.test('resets clients of dead back ends, with other faults at the same time', async (t) => {
  let resetCount = 0;
  for (let seed = 1; seed <= 3; seed += 1) {
    const { violations } = await runIngressWorld({
      seed,
      faultCount: 24,
      kinds: FAULT_KINDS,
      endsWithLoss: false,
      // Short enough that missing heartbeats count before clients give up.
      options: { ...SINGLE_PACKET_REQUESTS, heartbeatIntervalMs: 300 },
      prepare: (world) => countResets(world, () => (resetCount += 1)),
    });
    t.same(violations, [], `seed ${seed}`);
  }
  t.ok(resetCount > 0, `${resetCount} resets`);
});

/** Seeds in which two retransmissions are not enough evidence. */
for (const seed of [9, 22, 29]) {
  t.test(
    `does not reset flows of a back end cut off from control machines, seed ${seed}`,
    async (t) => {
      const { violations } = await runIngressWorld({
        seed,
        faultCount: 24,
        kinds: ['backend-cut-from-control', 'backend-cut-from-control', 'datagrams-lost'],
        endsWithLoss: false,
        options: SINGLE_PACKET_REQUESTS,
      });
      t.same(violations, []);
    },
  );
}

function countResets(world: IngressWorld, count: () => void): void {
  for (const { process } of world.balancers) {
    const counts = process?.counts;
    const set = counts?.set.bind(counts);
    if (counts !== undefined && set !== undefined) {
      counts.set = (name, value) => {
        if (name === 'reset:backend-dead') {
          count();
        }
        return set(name, value);
      };
    }
  }
}

/** Cuts back ends off from control machines and loses datagrams, so that each source alone is wrong. */
async function isMutantCaught(breakWorld: (world: IngressWorld) => void): Promise<boolean> {
  for (let seed = 61; seed <= 66; seed += 1) {
    const { violations } = await runIngressWorld({
      seed,
      faultCount: 16,
      kinds: ['backend-cut-from-control', 'datagrams-lost'],
      endsWithLoss: false,
      options: SINGLE_PACKET_REQUESTS,
      prepare: breakWorld,
    });
    if (violations.some(({ check }) => check === 'flow')) {
      return true;
    }
  }
  return false;
}

t.test('mutant: missing heartbeats alone are enough', async (t) => {
  t.ok(
    await isMutantCaught((world) =>
      world.balancers.forEach(({ process }) => {
        if (process !== undefined) {
          process.state.activities.recordPacket = () => ({ retransmissions: 9, sinceMs: Infinity });
        }
      }),
    ),
  );
});

t.test('mutant: retransmissions alone are enough', async (t) => {
  t.ok(
    await isMutantCaught((world) =>
      world.balancers.forEach(({ process }) => {
        if (process !== undefined) {
          const { activities } = process.state;
          const recordPacket = activities.recordPacket.bind(activities);
          activities.recordPacket = (key, backend, packet, nowMs) => {
            const unanswered = recordPacket(key, backend, packet, nowMs);
            if (unanswered === undefined || unanswered.retransmissions === 0) {
              return unanswered;
            }
            Object.assign(backend.registration, { liveness: 'suspect' });
            backend.local.recordProgress(Number.NEGATIVE_INFINITY);
            return { ...unanswered, retransmissions: 3 };
          };
        }
      }),
    ),
  );
});
