/**
 * @file The processor time of one choice of a back end, against the number of back ends.
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

const ADDRESS: Address = { host: '10.1.0.1', port: 5000 };
const ZONES = 3;
const WARM_UP_CHOICES = 20_000;
const CHOICES = 100_000;
const CHOICES_PER_MS = 10;
const NANOSECONDS_PER_MS = 1e6;

const service: Service = {
  id: 1,
  name: 'authd',
  owner: 'tarjeta',
  address: ADDRESS,
  policy: 'adaptive',
  limits: {},
  version: 1,
};

/**
 * @param backendCount all of one service, all ready
 * @returns the cost of one choice by the adaptive policy with what is recorded of it, in nanoseconds
 */
export function choiceCost(backendCount: number, seed: number): number {
  const state = stateWith(backendCount, seed);
  const random = seededRandom(seed);
  const choose = (count: number): void => {
    for (let number = 0; number < count; number += 1) {
      const context = { nowMs: 1_000 + number / CHOICES_PER_MS, random };
      const view = chooseBackend(state, openOf(), context);
      if (view === undefined) {
        throw new RangeError('No back end is ready.');
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

function stateWith(backendCount: number, seed: number): BalancerState {
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
    state.views.set(id, createBackendView(backendOf(id)));
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

function backendOf(id: number): Backend {
  const zone = `zone-${id % ZONES}`;
  const where = { address: ADDRESS, healthAddress: ADDRESS, zone };
  return { id, serviceId: service.id, adminState: 'active', ...where };
}

function openOf(): PendingOpen {
  return {
    key: '',
    flowId: new Uint8Array(8),
    client: ADDRESS,
    service,
    replyTo: ADDRESS,
    receivedAtMs: 0,
    deadlineAtMs: Infinity,
    triedBackendIds: [],
    attemptEndsAtMs: Infinity,
  };
}
