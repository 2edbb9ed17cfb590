/**
 * @file Flows whose back end has crashed without a word: their clients are told as soon as two sources agree, and
 * never on the word of one. The load is that of long flows that each bring a request now and then, which wait for
 * their whole deadline where nobody tells them.
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
import { recordOf, takeIn } from './backend-records.js';

const HEARTBEAT_MS = 1_200;
const PACKET: PacketView = { ...PLAIN_PACKET, sequence: 500, acknowledged: 40, dataLength: 100 };
const KEY = flowKeyOf(PACKET);

/** All at one address. */
function backendIn(table: BackendTable, number: number, heardAtMs: number) {
  return takeIn(table, recordOf(number, { address: { host: '10.0.2.1', port: 9_000 } }), heardAtMs);
}

t.test('what proves that a back end is dead, and what does not', async (t) => {
  const backend = backendIn(new BackendTable(HEARTBEAT_MS), 1, 0);
  const is = (repeats: number, isReplaced = false, isFeedCurrent = true) =>
    isProvenDead(
      backend,
      { unanswered: { repeats, sinceMs: 1_000 }, isReplaced, isFeedCurrent },
      defaultSwitches,
    );
  t.notOk(is(5), 'its heartbeats come');
  Object.assign(backend.registration, { liveness: 'suspect' });
  t.notOk(is(2), 'silent for a while, and two losses');
  t.ok(is(3));
  t.notOk(is(3, false, false), 'who tells may be cut off');
  t.notOk(is(0, true), 'one that is silent may hold its address again');
  Object.assign(backend.registration, { liveness: 'dead' });
  t.notOk(is(0), 'silence alone');
  t.notOk(is(2), 'two losses while it is cut off from control');
  t.ok(is(3));
  t.ok(is(0, true), 'another one runs at its address');
  t.notOk(
    isProvenDead(
      backend,
      { unanswered: { repeats: 9, sinceMs: 1_000 }, isReplaced: true, isFeedCurrent: true },
      parseSwitches('deadFlows=left')._unsafeUnwrap(),
    ),
  );
  backend.local.recordProgress(900);
  t.ok(is(3), 'it went on for a while after its last heartbeat');
  backend.local.recordProgress(1_100);
  t.notOk(is(9, true), 'a client has got something from it meanwhile');
});

t.test('data that is sent again counts, but not what was doubled on its way', async (t) => {
  const table = new BackendTable(HEARTBEAT_MS);
  const backend = backendIn(table, 1, 0);
  const activities = new FlowActivities(() => 15_000, 100);
  const note = (atMs: number, packet: Partial<PacketView> = {}) =>
    activities.recordPacket(KEY, backend, { ...PACKET, ...packet }, atMs)?.repeats;
  t.equal(note(1_000), 0);
  t.equal(note(1_001), 0, 'doubled');
  t.equal(note(1_200), 1);
  t.equal(note(1_600), 2);
  t.equal(backend.local.lastProgressAtMs, Number.NEGATIVE_INFINITY, 'nothing came back');
  t.equal(note(2_000, { sequence: 600, acknowledged: 90 }), 0, 'the next request');
  t.equal(backend.local.lastProgressAtMs, 2_000);
});

t.test('a newcomer at the address is no proof while it is not heard of itself', async (t) => {
  const table = new BackendTable(HEARTBEAT_MS);
  const first = backendIn(table, 1, 0);
  t.notOk(table.isReplaced(first));
  const second = backendIn(table, 2, 5_000);
  t.ok(table.isReplaced(first));
  t.notOk(table.isReplaced(second));
  Object.assign(second.registration, { liveness: 'suspect' });
  t.notOk(table.isReplaced(first));
});

const KINDS: readonly DrawnFaultKind[] = [
  'backend-crashed',
  'backend-cut-from-control',
  'datagrams-lost',
  'control-cut',
  'all-controls-killed',
  'balancer-frozen',
  'backend-reborn',
];
/** A request of one packet is lost as a whole. */
const SINGLE = { requestPartsAtMs: [0], clientCount: 30 };

t.test('clients of dead back ends are told, beside all other faults', async (t) => {
  let told = 0;
  for (let seed = 1; seed <= 3; seed += 1) {
    const { violations } = await runIngressWorld({
      seed,
      faultCount: 24,
      kinds: KINDS,
      endsWithLoss: false,
      // Silence counts before clients give up.
      options: { ...SINGLE, heartbeatIntervalMs: 300 },
      prepare: (world) => countResets(world, () => (told += 1)),
    });
    t.same(violations, [], `seed ${seed}`);
  }
  t.ok(told > 0, `${told} resets`);
});

/** With these seeds flows were reset while two repeats of a silent back end's client were proof. */
for (const seed of [9, 22, 29]) {
  t.test(`no flow of a back end that is cut off from control is reset, seed ${seed}`, async (t) => {
    const { violations } = await runIngressWorld({
      seed,
      faultCount: 24,
      kinds: ['backend-cut-from-control', 'backend-cut-from-control', 'datagrams-lost'],
      endsWithLoss: false,
      options: SINGLE,
    });
    t.same(violations, []);
  });
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

/** Back ends are cut off from control while datagrams are lost: single sources are wrong then. */
async function isCaught(breakWorld: (world: IngressWorld) => void): Promise<boolean> {
  for (let seed = 61; seed <= 66; seed += 1) {
    const { violations } = await runIngressWorld({
      seed,
      faultCount: 16,
      kinds: ['backend-cut-from-control', 'datagrams-lost'],
      endsWithLoss: false,
      options: SINGLE,
      prepare: breakWorld,
    });
    if (violations.some(({ check }) => check === 'flow')) {
      return true;
    }
  }
  return false;
}

t.test('mutant: silence of heartbeats alone is proof', async (t) => {
  t.ok(
    await isCaught((world) =>
      world.balancers.forEach(({ process }) => {
        if (process !== undefined) {
          process.state.activities.recordPacket = () => ({ repeats: 9, sinceMs: Infinity });
        }
      }),
    ),
  );
});

t.test('mutant: a client that sends again is proof alone', async (t) => {
  t.ok(
    await isCaught((world) =>
      world.balancers.forEach(({ process }) => {
        if (process !== undefined) {
          const { activities } = process.state;
          const note = activities.recordPacket.bind(activities);
          activities.recordPacket = (key, backend, packet, nowMs) => {
            const unanswered = note(key, backend, packet, nowMs);
            if (unanswered === undefined || unanswered.repeats === 0) {
              return unanswered;
            }
            Object.assign(backend.registration, { liveness: 'suspect' });
            backend.local.recordProgress(Number.NEGATIVE_INFINITY);
            return { ...unanswered, repeats: 3 };
          };
        }
      }),
    ),
  );
});
