/** @file Guards against outdated evacuation state, and against too many new flows to cold back ends. */
import t from 'tap';
import { BackendTable } from '../../../src/registered/ingress/backend-table.js';
import type { KnownBackend } from '../../../src/registered/ingress/known-backend.js';
import {
  createSlowStart,
  type SlowStartBounds,
} from '../../../src/registered/decisions/slow-start.js';
import { createPeerTable } from '../../../src/registered/ingress/peer-table.js';
import { createZoneTable } from '../../../src/registered/ingress/zone-table.js';
import { recordOf, applyFirstHeartbeat } from '../decisions/backend-records.js';

const WARM_UP = { service: 'alpha', warmUpMs: 2_000 };
const HEARTBEAT_MS = 1_200;

t.test('a lagging control machine does not revert newer orders', async (t) => {
  const zones = createZoneTable();
  zones.applyUpdates([{ zone: 'a', isEvacuated: true, orders: 3 }], 1_000);
  zones.applyUpdates([{ zone: 'a', isEvacuated: false, orders: 2 }], 1_100);
  t.ok(zones.isEvacuated('a'));
  t.equal(zones.describeEvacuated(1_500), 'a:500ms');
  zones.applyUpdates([{ zone: 'a', isEvacuated: false, orders: 4, readmittedAgoMs: 50 }], 2_000);
  t.notOk(zones.isEvacuated('a'));
  t.equal(zones.readmittedAtMs('a'), 1_950);
  t.equal(zones.describeEvacuated(2_000), undefined);
});

/** Slow starts of balancers that list each other, and one back end that is cold until 2,000 ms. */
function slowStartsOf(count: number, bounds: SlowStartBounds, coldRequestsPerS: number) {
  const names = Array.from({ length: count }, (_, index) => `balancer-${index}`);
  const infos = names.map((name) => ({
    name,
    zone: 'a',
    peerAddress: { host: '10.0.3.1', port: 1 },
  }));
  const backend = coldBackend();
  const slowStarts = names.map((name) => {
    const peers = createPeerTable(name);
    peers.applyChanges(infos, []);
    return createSlowStart({
      bounds,
      heartbeatIntervalMs: HEARTBEAT_MS,
      zones: createZoneTable(),
      peers,
      warmUpOf: () => ({ ...WARM_UP, coldRequestsPerS }),
      isFeedCurrent: () => true,
    });
  });
  return { slowStarts, backend };
}

function coldBackend(): KnownBackend {
  const record = recordOf(1, { zone: 'a', warmUpLeftMs: 2_000 });
  return applyFirstHeartbeat(new BackendTable(HEARTBEAT_MS), record, 0);
}

const cases = [
  { balancers: 89, bounds: { excess: 1.5, slackPerS: 5 }, coldRequestsPerS: 0 },
  { balancers: 89, bounds: { excess: 1.5, slackPerS: 5 }, coldRequestsPerS: 200 },
  { balancers: 4, bounds: { excess: 1.5, slackPerS: 5 }, coldRequestsPerS: 10 },
  { balancers: 1, bounds: { excess: 1, slackPerS: 0 }, coldRequestsPerS: 2 },
];

for (const { balancers, bounds, coldRequestsPerS } of cases) {
  t.test(
    `${balancers} balancers, ${coldRequestsPerS} requests per second while cold`,
    async (t) => {
      const { slowStarts, backend } = slowStartsOf(balancers, bounds, coldRequestsPerS);
      const times: number[] = [];
      for (let nowMs = 0; nowMs < 2_000; nowMs += 5) {
        for (const slowStart of slowStarts) {
          if (slowStart.admits(backend, nowMs)) {
            slowStart.recordPlacement(backend, nowMs);
            times.push(nowMs);
          }
        }
      }
      const maxPerSecond = Math.max(
        ...times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length),
      );
      const allowed = coldRequestsPerS * bounds.excess + bounds.slackPerS;
      t.ok(maxPerSecond <= allowed / 2, `${maxPerSecond} of ${allowed}`);
      t.ok(times.length >= Math.floor(allowed / 2), 'the share is used');
      t.ok(
        slowStarts.every((slowStart) => slowStart.admits(backend, 2_001)),
        'warm',
      );
    },
  );
}

t.test('a balancer without a current feed places no flows on cold back ends', async (t) => {
  const slowStart = createSlowStart({
    bounds: { excess: 1.5, slackPerS: 500 },
    heartbeatIntervalMs: HEARTBEAT_MS,
    zones: createZoneTable(),
    peers: createPeerTable('balancer-1'),
    warmUpOf: () => ({ ...WARM_UP, coldRequestsPerS: 0 }),
    isFeedCurrent: (nowMs) => nowMs < 1_000,
  });
  const backend = coldBackend();
  t.ok(slowStart.admits(backend, 500));
  t.notOk(slowStart.admits(backend, 1_000));
  t.ok(slowStart.admits(backend, 2_000), 'warm');
});

t.test(
  'back ends of a readmitted zone are cold until a record from after the readmission arrives',
  async (t) => {
    const zones = createZoneTable();
    const slowStart = createSlowStart({
      bounds: { excess: 1, slackPerS: 0 },
      heartbeatIntervalMs: HEARTBEAT_MS,
      zones,
      peers: createPeerTable('balancer-1'),
      warmUpOf: () => ({ service: 'alpha', warmUpMs: 9_000, coldRequestsPerS: 0 }),
      isFeedCurrent: () => true,
    });
    const backend = coldBackend();
    zones.applyUpdates([{ zone: 'a', isEvacuated: false, orders: 2, readmittedAgoMs: 0 }], 10_000);
    t.ok(slowStart.isCold(backend, 10_000));
    Object.assign(backend.registration, { recordReceivedAtMs: 11_000 });
    t.ok(
      slowStart.isCold(backend, 12_000),
      'the record may have been sent before the readmission and delayed',
    );
    Object.assign(backend.registration, { recordReceivedAtMs: 12_500 });
    t.notOk(slowStart.isCold(backend, 12_500));
    Object.assign(backend.registration, { recordReceivedAtMs: 0 });
    t.notOk(slowStart.isCold(backend, 19_000), 'its warm-up is over, regardless of its records');
  },
);
