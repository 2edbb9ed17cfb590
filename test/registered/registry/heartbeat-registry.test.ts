/** @file Guards against lost or redundant changes from heartbeats, and against wrong liveness after silence. */
import t from 'tap';
import type { BackendRecord } from '../../../src/registered/registry/backend-record.js';
import { HeartbeatRegistry } from '../../../src/registered/registry/heartbeat-registry.js';

const INTERVAL_MS = 1_000;
const LISTENING_SINCE_MS = 0;

function recordWith(changes: Partial<BackendRecord>): BackendRecord {
  return {
    id: 'backend-1',
    instanceNumber: '00000000000000a1',
    service: 'alpha',
    address: { host: '10.0.2.1', port: 9_000 },
    zone: 'zone-a',
    capacity: 2,
    warmUpLeftMs: 0,
    sequence: 1,
    ...changes,
  };
}

t.test('a heartbeat with an unchanged record is no change', async (t) => {
  const registry = new HeartbeatRegistry(INTERVAL_MS);
  t.equal(registry.apply(recordWith({}), 0), 'changed');
  t.equal(registry.apply(recordWith({ sequence: 2 }), 1_000), 'alive');
  t.equal(registry.apply(recordWith({ sequence: 2 }), 1_000), 'late', 'duplicate');
  t.equal(registry.apply(recordWith({ sequence: 1 }), 1_500), 'late', 'overtaken');
  t.equal(registry.get('backend-1')?.lastHeartbeatAtMs, 1_000);
});

t.test('another capacity, zone, service or address is a change', async (t) => {
  const changes: Partial<BackendRecord>[] = [
    { capacity: 3 },
    { zone: 'zone-b' },
    { service: 'beta' },
    { address: { host: '10.0.2.1', port: 9_001 } },
  ];
  for (const change of changes) {
    const registry = new HeartbeatRegistry(INTERVAL_MS);
    registry.apply(recordWith({}), 0);
    t.equal(registry.apply(recordWith({ ...change, sequence: 2 }), 1_000), 'changed');
  }
});

t.test('a warm-up that proceeds as expected is no change, another one is', async (t) => {
  const registry = new HeartbeatRegistry(INTERVAL_MS);
  registry.apply(recordWith({ warmUpLeftMs: 2_000 }), 0);
  t.equal(registry.apply(recordWith({ sequence: 2, warmUpLeftMs: 1_100 }), 1_000), 'alive');
  t.equal(registry.apply(recordWith({ sequence: 3, warmUpLeftMs: 0 }), 2_000), 'alive');
  t.equal(registry.apply(recordWith({ sequence: 4, warmUpLeftMs: 3_000 }), 3_000), 'changed');
});

t.test('each change of liveness is reported once', async (t) => {
  const registry = new HeartbeatRegistry(INTERVAL_MS);
  registry.apply(recordWith({}), 0);
  const livenessChanges = (nowMs: number) =>
    registry
      .updateLiveness(nowMs, LISTENING_SINCE_MS)
      .map(({ liveness, silentMs }) => [liveness, silentMs]);
  t.same(livenessChanges(2_500), []);
  t.same(livenessChanges(2_600), [['suspect', 2_600]]);
  t.same(livenessChanges(3_000), []);
  t.same(livenessChanges(6_100), [['dead', 6_100]]);
  registry.apply(recordWith({ sequence: 2 }), 7_000);
  t.same(livenessChanges(7_100), [['alive', 100]]);
});

t.test('silence from before this machine got all heartbeats does not count', async (t) => {
  const registry = new HeartbeatRegistry(INTERVAL_MS);
  registry.apply(recordWith({}), 0);
  t.same(registry.updateLiveness(10_000, 9_000), []);
  t.same(registry.updateLiveness(11_600, 9_000), [
    { backendId: 'backend-1', liveness: 'suspect', silentMs: 2_600 },
  ]);
});

t.test(
  'a back end is dead while another one holds its address, and alive once it has moved',
  async (t) => {
    const registry = new HeartbeatRegistry(INTERVAL_MS);
    registry.apply(recordWith({}), 0);
    registry.apply(recordWith({ id: 'backend-2' }), 100);
    t.same(registry.updateLiveness(200, LISTENING_SINCE_MS), [
      { backendId: 'backend-1', liveness: 'dead', silentMs: 200 },
    ]);
    t.equal(registry.holderOf({ host: '10.0.2.1', port: 9_000 }), 'backend-2');
    const moved = { sequence: 2, address: { host: '10.0.2.9', port: 9_000 } };
    t.equal(registry.apply(recordWith(moved), 300), 'changed');
    t.same(registry.updateLiveness(400, LISTENING_SINCE_MS), [
      { backendId: 'backend-1', liveness: 'alive', silentMs: 100 },
    ]);
  },
);
