/** @file Guards against wrong balancer state after feed messages that are outdated, partial, complete or missing. */
import t from 'tap';
import type { FeedMessage } from '../../../src/registered/group/group-messages.js';
import { widestTiming } from '../../../src/registered/group/timing.js';
import { applyFeedMessage } from '../../../src/registered/ingress/feed-step.js';
import { localLoads } from '../../../src/registered/ingress/load-reporter.js';
import { sweepIngress } from '../../../src/registered/ingress/sweep.js';
import {
  createIngressState,
  type IngressState,
} from '../../../src/registered/ingress/ingress-state.js';
import { defaultSwitches } from '../../../src/registered/decisions/mechanism-switches.js';
import { recordOf } from '../decisions/backend-records.js';

const LIFETIME_MS = 60_000;

function freshState(): IngressState {
  return createIngressState({
    name: 'balancer-1',
    zone: 'zone-a',
    heartbeatIntervalMs: 1_000,
    flowLifetimeMs: LIFETIME_MS,
    feed: widestTiming.feed,
    maxCountedFlows: 1_000,
    switches: defaultSwitches,
  });
}

function agedRecordOf(number: number, ageMs = 0, sequence = 1) {
  return { record: recordOf(number, { sequence }), ageMs };
}

function balancerOf(number: number) {
  const peerAddress = { host: `10.0.3.${number}`, port: 7_700 };
  return { name: `balancer-${number}`, zone: 'zone-a', peerAddress };
}

function feed(state: IngressState, parts: Partial<FeedMessage>, nowMs: number): void {
  applyFeedMessage(
    state,
    { type: 'feed', isCurrent: true, isComplete: true, isCounted: false, ...parts },
    nowMs,
  );
}

function livenessOf(state: IngressState, number: number) {
  return state.backends.find(`backend-${number}`)?.registration.liveness;
}

t.test('liveness changes apply in both directions', async (t) => {
  const state = freshState();
  feed(
    state,
    {
      transfer: 'whole',
      records: [agedRecordOf(1), agedRecordOf(2, 3_000), agedRecordOf(3, 9_000)],
    },
    0,
  );
  t.same(
    [1, 2, 3].map((number) => livenessOf(state, number)),
    ['alive', 'suspect', 'dead'],
  );
  const judgement = { backendId: 'backend-1', liveness: 'suspect', silentMs: 2_600 } as const;
  feed(state, { judgements: [judgement, { ...judgement, backendId: 'unknown' }] }, 5_000);
  t.equal(livenessOf(state, 1), 'suspect');
  t.same(
    sweepIngress(state, 5_000).map(({ backend, from, to }) => [backend.id, from, to]),
    [
      ['backend-1', 'alive', 'suspect'],
      ['backend-2', 'alive', 'suspect'],
      ['backend-3', 'alive', 'dead'],
    ],
  );
  t.same(sweepIngress(state, 5_000), [], 'each change is reported once');
  feed(state, { judgements: [{ ...judgement, liveness: 'alive', silentMs: 0 }] }, 6_000);
  t.equal(livenessOf(state, 1), 'alive');
});

t.test('back ends missing from a complete and current sync become suspect', async (t) => {
  const state = freshState();
  feed(state, { transfer: 'whole', records: [agedRecordOf(1), agedRecordOf(2)] }, 0);
  feed(state, { transfer: 'whole', isCurrent: false, records: [agedRecordOf(1)] }, 1_000);
  t.equal(livenessOf(state, 2), 'alive', 'not because of a control machine that is not current');
  feed(state, { records: [agedRecordOf(1, 0, 2)] }, 1_000);
  t.equal(livenessOf(state, 2), 'alive', 'not because of incremental updates');
  feed(state, { transfer: 'whole', records: [agedRecordOf(1)] }, 2_000);
  t.equal(livenessOf(state, 2), 'suspect');
  t.equal(livenessOf(state, 1), 'alive');
  sweepIngress(state, 2_000 + LIFETIME_MS);
  t.ok(state.backends.find('backend-2'), 'it may still have live flows');
  sweepIngress(state, 2_001 + LIFETIME_MS);
  t.equal(state.backends.find('backend-2'), undefined);
  t.ok(
    state.backends.find('backend-1'),
    'a live back end stays, regardless of the age of its last record',
  );
});

t.test('a lagging control machine does not revert a newer record', async (t) => {
  const state = freshState();
  const later = agedRecordOf(1, 0, 5);
  feed(state, { records: [{ ...later, record: { ...later.record, capacity: 4 } }] }, 0);
  feed(state, { transfer: 'whole', records: [agedRecordOf(1, 0, 3)] }, 100);
  t.equal(state.backends.find('backend-1')?.registration.record.capacity, 4);
});

t.test('a departure is final, regardless of later records and liveness changes', async (t) => {
  const state = freshState();
  feed(state, { departures: [{ backendId: 'backend-1', kind: 'draining' }] }, 0);
  feed(state, { transfer: 'whole', records: [agedRecordOf(1)] }, 100);
  t.same(state.backends.activeOf('alpha'), []);
  const aliveAgain = { backendId: 'backend-1', liveness: 'alive', silentMs: 0 } as const;
  feed(state, { judgements: [aliveAgain] }, 200);
  t.same(state.backends.activeOf('alpha'), []);
});

t.test('balancers of a full sync replace the list, others are incremental', async (t) => {
  const state = freshState();
  feed(state, { transfer: 'whole', balancers: [1, 2, 3].map(balancerOf) }, 0);
  t.equal(state.peers.size, 2);
  feed(state, { balancers: [balancerOf(4)], lostBalancers: ['balancer-2'] }, 0);
  t.equal(state.peers.size, 2);
  feed(state, { transfer: 'whole', balancers: [balancerOf(1)] }, 0);
  t.equal(state.peers.size, 0);
});

t.test('fleet loads are kept while the feed is current, and discarded soon after', async (t) => {
  const state = freshState();
  feed(state, { transfer: 'whole', records: [agedRecordOf(1)] }, 0);
  const backend = state.backends.find('backend-1');
  const token = backend?.token ?? 0;
  feed(state, { loads: [token, 3, 12_345, 9] }, 0);
  t.equal(backend?.fleet.busy, 3);
  feed(state, {}, 5_000);
  sweepIngress(state, 6_000);
  t.equal(backend?.fleet.busy, 3, 'not sent again, since it has not changed');
  feed(state, { isCurrent: false }, 7_500);
  sweepIngress(state, 7_500);
  t.equal(backend?.fleet.busy, 0, 'not confirmed for too long');
  feed(state, { loads: [token, 2] }, 8_000);
  feed(state, { loads: [] }, 8_500);
  t.equal(backend?.fleet.busy, 0);
});

t.test('a balancer reports its local load, without idle back ends', async (t) => {
  const state = freshState();
  feed(state, { transfer: 'whole', records: [agedRecordOf(1), agedRecordOf(2)] }, 0);
  const backend = state.backends.find('backend-2');
  if (backend === undefined) {
    throw new Error('No back end.');
  }
  t.same(localLoads(state), []);
  state.activities.recordOpen('flow', backend, 0);
  t.same(localLoads(state), [backend.token, 1]);
});

t.test('a full sync in several messages suspects no back end before the last one', async (t) => {
  const state = freshState();
  feed(state, { transfer: 'whole', records: [1, 2, 3].map((n) => agedRecordOf(n)) }, 0);
  feed(state, { transfer: 'begins', isComplete: false, records: [agedRecordOf(1)] }, 1_000);
  t.equal(livenessOf(state, 3), 'alive');
  feed(state, { transfer: 'goes-on', isComplete: false }, 1_050);
  t.equal(livenessOf(state, 3), 'alive');
  feed(state, { transfer: 'ends', records: [agedRecordOf(2)] }, 1_100);
  t.same(
    [1, 2, 3].map((number) => livenessOf(state, number)),
    ['alive', 'alive', 'suspect'],
  );
});

t.test('an interrupted full sync is discarded when the next one begins', async (t) => {
  const state = freshState();
  feed(state, { transfer: 'whole', records: [1, 2].map((n) => agedRecordOf(n)) }, 0);
  feed(state, { transfer: 'begins', isComplete: false, records: [agedRecordOf(2)] }, 1_000);
  feed(state, { transfer: 'whole', records: [agedRecordOf(1)] }, 2_000);
  t.equal(livenessOf(state, 2), 'suspect', 'not named in the new sync');
});

const CONFIG = { baseVersion: 0, idleTimeoutMs: 15_000, warmUps: [] };
const routeTo = (service: string, port: number) => ({
  host: '198.18.0.1',
  port,
  targets: [{ service, weight: 1 }],
});

t.test(
  'an update takes effect once it is complete, and only then is the balancer current',
  async (t) => {
    const state = freshState();
    const part = { ...CONFIG, version: 3, changeCount: 2 };
    const first = { ...part, firstChange: 0, changes: [routeTo('alpha', 443)] };
    const second = { ...part, firstChange: 1, changes: [routeTo('alpha', 8_080)] };
    feed(state, { transfer: 'whole', isComplete: false, config: first }, 0);
    t.equal(state.routes.config, undefined);
    t.equal(state.feedStatus.lastCurrentAtMs, undefined, 'the update is incomplete');
    t.same(state.configAssembly.unfinished, { version: 3, baseVersion: 0, changesTaken: 1 });
    feed(state, { config: second }, 50);
    t.equal(state.routes.config?.version, 3);
    t.equal(state.routes.size, 2);
    t.equal(state.feedStatus.lastCurrentAtMs, 50);
    t.equal(state.configAssembly.unfinished, undefined);
  },
);

t.test('an update based on another version is rejected as a whole', async (t) => {
  const state = freshState();
  const whole = { ...CONFIG, version: 3, firstChange: 0, changeCount: 1 };
  feed(state, { transfer: 'whole', config: { ...whole, changes: [routeTo('alpha', 443)] } }, 0);
  const drop = [{ host: '198.18.0.1', port: 443, targets: undefined }];
  const change = { ...whole, version: 5, baseVersion: 4, changes: drop };
  const message = { type: 'feed', isCurrent: true, isComplete: true, isCounted: true } as const;
  t.same(applyFeedMessage(state, { ...message, config: change }, 100), { type: 'unfit' });
  t.equal(state.routes.config?.version, 3);
  t.equal(state.routes.size, 1);
  t.equal(
    state.feedStatus.lastCurrentAtMs,
    0,
    'not current, since the route may have been removed',
  );
  const fitting = { ...change, baseVersion: 3 };
  t.same(applyFeedMessage(state, { ...message, config: fitting }, 200), {
    type: 'in-force',
    version: 5,
  });
  t.equal(state.routes.size, 0);
  const older = { ...message, config: { ...change, version: 4, baseVersion: 0 } };
  t.same(applyFeedMessage(state, older, 300), { type: 'unchanged' }, 'an older version is ignored');
});
