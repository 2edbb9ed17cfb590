/** @file A balancer without a lease must not forward packets to addresses that may have been reassigned. */
import t from 'tap';
import {
  createBalancerState,
  type BalancerState,
} from '../../../src/managed/balancer/balancer-state.js';
import { applyConfigUpdate } from '../../../src/managed/balancer/config-tables.js';
import { defaultBalancerOptions } from '../../../src/managed/balancer/balancer-options.js';
import { balancerStep } from '../../../src/managed/balancer/balancer-step.js';
import { routeEstablished } from '../../../src/managed/balancer/forwarding.js';
import { seededRandom } from '../../../src/shared/common/random.js';
import { IDENTITY_LIFETIME_MS, applyGrant } from '../../../src/managed/dissemination/lease.js';
import { encodeShortHeader, FLOW_ID_LENGTH_BYTES } from '../../../src/managed/flow/header.js';
import { mintToken, prepareTokenKey } from '../../../src/managed/flow/token.js';

const CLIENT = { host: '10.9.0.1', port: 4000 };
const SERVICE = { host: '10.1.0.1', port: 5000 };
const BACKEND = { host: '10.5.0.1', port: 9000 };
const SECRET = Buffer.alloc(16, 7);

function createBalancerWithoutLease(): BalancerState {
  const state = createBalancerState({
    ...defaultBalancerOptions,
    balancerId: 'balancer-1',
    zone: 'zone-a',
    controlAddresses: [],
    clusterKey: 'test-cluster-key',
  });
  applyConfigUpdate(state, {
    type: 'snapshot',
    to: { term: 1, index: 1 },
    services: [
      {
        id: 1,
        name: 'authd',
        owner: 'tarjeta',
        address: SERVICE,
        policy: 'random',
        limits: {},
        version: 1,
      },
    ],
    backends: [
      {
        id: 7,
        serviceId: 1,
        address: BACKEND,
        healthAddress: BACKEND,
        zone: 'zone-a',
        adminState: 'active',
      },
    ],
    keys: [{ id: 1, secret: SECRET, state: 'current' }],
  });
  return state;
}

/** Probes the address of back end 7; the back end there answers with the given ID. */
function probe(state: BalancerState, startedAtMs: number, answeredAtMs: number, backendId: number) {
  const random = seededRandom(1);
  balancerStep(state, { type: 'tick' }, { nowMs: startedAtMs, random });
  const health = { backendId, incarnation: 3, state: 'ready' as const };
  const result = { backendId: 7, health, load: undefined };
  balancerStep(state, { type: 'probe-result', result }, { nowMs: answeredAtMs, random });
}

/** @returns 'forwarded', or the error kind for a packet of an established flow */
function route(state: BalancerState, nowMs: number): string {
  const flowId = Buffer.alloc(FLOW_ID_LENGTH_BYTES, 5);
  const fields = { keyId: 1, serviceId: 1, backendId: 7, incarnation: 3, flowId };
  const packet = encodeShortHeader(mintToken(fields, prepareTokenKey(SECRET)), new Uint8Array([1]));
  const target = routeEstablished(state, { client: CLIENT, service: SERVICE, packet }, nowMs);
  return target.match(
    () => 'forwarded',
    ({ kind }) => kind,
  );
}

t.test(
  'established flows reach a back end that confirmed its identity, until the confirmation expires',
  async (t) => {
    const state = createBalancerWithoutLease();
    t.equal(route(state, 0), 'lease-expired', 'no confirmation yet');
    probe(state, 1_000, 1_010, 7);
    t.equal(route(state, 1_020), 'forwarded');
    t.equal(route(state, 1_000 + IDENTITY_LIFETIME_MS), 'lease-expired');
    t.equal(state.pendingOpens.size, 0);
  },
);

t.test('no packet is sent to an address where another back end answers', async (t) => {
  const state = createBalancerWithoutLease();
  probe(state, 1_000, 1_010, 7);
  probe(state, 2_000, 2_010, 9);
  t.equal(route(state, 2_020), 'lease-expired');
});

t.test('an answer that was queued during a pause does not confirm the identity', async (t) => {
  const state = createBalancerWithoutLease();
  probe(state, 1_000, 3_601_000, 7);
  t.equal(route(state, 3_601_000), 'lease-expired');
});

t.test('probes without a lease are not authoritative', async (t) => {
  const state = createBalancerWithoutLease();
  const random = seededRandom(1);
  const probesAt = (nowMs: number) =>
    balancerStep(state, { type: 'tick' }, { nowMs, random }).filter(({ type }) => type === 'probe');
  t.match(probesAt(1_000), [{ isAuthoritative: false }]);
  const grant = { askedAtMs: 1_000, remainingMs: 9_500, floorIndex: 1 };
  applyGrant(state.subscription.lease, grant, state.position.index);
  t.match(probesAt(10_000), [{ isAuthoritative: true }]);
});

t.test('with a lease, packets are forwarded without a confirmed identity', async (t) => {
  const state = createBalancerWithoutLease();
  const grant = { askedAtMs: 0, remainingMs: 5_000, floorIndex: 1 };
  applyGrant(state.subscription.lease, grant, state.position.index);
  t.equal(route(state, 4_999), 'forwarded');
  t.equal(route(state, 5_000), 'lease-expired');
});
