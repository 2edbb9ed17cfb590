/**
 * @file Measures the time to choose a back end, depending on the number of back ends.
 */
import { createBackendView } from '../../managed/balancer/backend-view.js';
import { createBalancerState, type BalancerState } from '../../managed/balancer/balancer-state.js';
import type { PendingOpen } from '../../managed/balancer/pending-open.js';
import { defaultBalancerOptions } from '../../managed/balancer/balancer-options.js';
import {
  recordAttempt,
  recordAttemptEnd,
  recordProbe,
} from '../../managed/balancer/backend-evidence.js';
import { chooseBackend } from '../../managed/balancer/choose-backend.js';
import type { Address } from '../../shared/common/address.js';
import { seededRandom } from '../../shared/common/random.js';
import type { Backend, Service } from '../../managed/control/routing-config.js';

const PLACEHOLDER_ADDRESS: Address = { host: '10.1.0.1', port: 5000 };
const ZONE_COUNT = 3;
const WARM_UP_CHOICES = 20_000;
const CHOICES = 100_000;
const CHOICES_PER_MS = 10;
const NANOSECONDS_PER_MS = 1e6;

const service: Service = {
  id: 1,
  name: 'authd',
  owner: 'tarjeta',
  address: PLACEHOLDER_ADDRESS,
  policy: 'adaptive',
  limits: {},
  version: 1,
};

/**
 * Measures the adaptive policy, including the recording of each attempt.
 * @param backendCount ready back ends, all of one service
 * @returns mean time per choice in nanoseconds
 */
export function choiceCost(backendCount: number, seed: number): number {
  const state = createStateWithBackends(backendCount, seed);
  const random = seededRandom(seed);
  const choose = (count: number): void => {
    for (let number = 0; number < count; number += 1) {
      const context = { nowMs: 1_000 + number / CHOICES_PER_MS, random };
      const view = chooseBackend(state, createPendingOpen(), context);
      if (view === undefined) {
        throw new RangeError('No back end was chosen although all of them are ready.');
      }
      recordAttempt(state, view, context);
      recordAttemptEnd(state, view, 'accepted', undefined, context);
    }
  };
  choose(WARM_UP_CHOICES);
  const startedAtMs = performance.now();
  choose(CHOICES);
  return Math.round(((performance.now() - startedAtMs) * NANOSECONDS_PER_MS) / CHOICES);
}

function createStateWithBackends(backendCount: number, seed: number): BalancerState {
  const state = createBalancerState({
    ...defaultBalancerOptions,
    balancerId: 'balancer-1',
    zone: 'zone-0',
    controlAddresses: [],
    clusterKey: '',
  });
  state.subscription.lease.expiresAtMs = Number.POSITIVE_INFINITY;
  const random = seededRandom(seed);
  for (let id = 1; id <= backendCount; id += 1) {
    state.views.set(id, createBackendView(createBackend(id)));
  }
  state.position = { term: 1, index: 1 };
  for (let id = 1; id <= backendCount; id += 1) {
    const connections = random.nextInt(2_000);
    const load = { connections, connectionLimit: 2_000, busySlots: 1, slots: 2, queuedRequests: 0 };
    const health = { incarnation: 1, state: 'ready' } as const;
    recordProbe(state, { backendId: id, health, load }, { nowMs: 0, random });
  }
  return state;
}

function createBackend(id: number): Backend {
  const zone = `zone-${id % ZONE_COUNT}`;
  const location = { address: PLACEHOLDER_ADDRESS, healthAddress: PLACEHOLDER_ADDRESS, zone };
  return { id, serviceId: service.id, adminState: 'active', ...location };
}

function createPendingOpen(): PendingOpen {
  return {
    key: '',
    flowId: new Uint8Array(8),
    client: PLACEHOLDER_ADDRESS,
    service,
    replyTo: PLACEHOLDER_ADDRESS,
    receivedAtMs: 0,
    deadlineAtMs: Infinity,
    triedBackendIds: [],
    attemptEndsAtMs: Infinity,
  };
}
