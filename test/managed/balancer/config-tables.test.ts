/** @file The tables derived from the configuration must be the same after deltas and after a snapshot. */
import { deepStrictEqual } from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import {
  createBalancerState,
  type BalancerState,
} from '../../../src/managed/balancer/balancer-state.js';
import { applyConfigUpdate } from '../../../src/managed/balancer/config-tables.js';
import { defaultBalancerOptions } from '../../../src/managed/balancer/balancer-options.js';
import type { Backend, Service, TokenKey } from '../../../src/managed/control/routing-config.js';
import { snapshotOf, type ConfigChange } from '../../../src/managed/control/config-delta.js';

const smallId = fc.integer({ min: 1, max: 4 });

function newState(): BalancerState {
  return createBalancerState({
    ...defaultBalancerOptions,
    balancerId: 'balancer-1',
    zone: 'zone-a',
    controlAddresses: [],
    clusterKey: 'a-cluster-key',
  });
}

function service(id: number, port: number): Service {
  const address = { host: '127.0.0.1', port };
  const policy = 'adaptive';
  return { id, name: `s${id}`, owner: 'hara', address, policy, limits: {}, version: 1 };
}

function backend(id: number, port: number): Backend {
  const address = { host: '127.0.0.2', port };
  const zone = 'zone-a';
  return { id, serviceId: 1, address, healthAddress: address, zone, adminState: 'active' };
}

function key(id: number, state: TokenKey['state']): TokenKey {
  return { id, secret: new Uint8Array(16).fill(id), state };
}

const changes: fc.Arbitrary<ConfigChange> = fc.oneof(
  fc.tuple(smallId, smallId).map(([id, port]): ConfigChange => ({
    type: 'service-set',
    service: service(id, port),
  })),
  smallId.map((serviceId): ConfigChange => ({ type: 'service-removed', serviceId })),
  fc.tuple(smallId, smallId).map(([id, port]): ConfigChange => ({
    type: 'backend-set',
    backend: backend(id, port),
  })),
  smallId.map((backendId): ConfigChange => ({ type: 'backend-removed', backendId })),
  smallId.map((id): ConfigChange => ({ type: 'key-set', key: key(id, 'previous') })),
  smallId.map((keyId): ConfigChange => ({ type: 'key-removed', keyId })),
);

/** Services have distinct addresses; the control plane refuses duplicates. */
function isAllowed(state: BalancerState, change: ConfigChange): boolean {
  return (
    change.type !== 'service-set' ||
    [...state.config.services.values()].every(
      ({ id, address }) => id === change.service.id || address.port !== change.service.address.port,
    )
  );
}

function tablesOf(state: BalancerState) {
  const byId = (left: [unknown, unknown], right: [unknown, unknown]) =>
    String(left[0]).localeCompare(String(right[0]));
  return {
    services: [...state.servicesByAddress].sort(byId),
    views: [...state.views].sort(byId),
    keys: [...state.preparedKeys.keys()].sort(),
    currentKeyId: state.currentKeyId,
  };
}

/** Applies each allowed change as a separate delta. */
function stateAfter(wanted: readonly ConfigChange[]): BalancerState {
  const state = newState();
  for (const change of wanted) {
    if (isAllowed(state, change)) {
      const from = state.position;
      const to = { term: 1, index: from.index + 1 };
      applyConfigUpdate(state, { type: 'delta', from, to, changes: [change] });
    }
  }
  return state;
}

t.test('deltas produce the same tables as a snapshot', async (t) => {
  const property = fc.property(fc.array(changes, { maxLength: 30 }), (wanted) => {
    const byDeltas = stateAfter(wanted);
    const bySnapshot = newState();
    const position = { term: 1, index: byDeltas.position.index + 1 };
    applyConfigUpdate(bySnapshot, snapshotOf(byDeltas.config, position));
    deepStrictEqual(tablesOf(byDeltas), tablesOf(bySnapshot));
  });
  t.doesNotThrow(() => fc.assert(property, { seed: 1, numRuns: 300 }));
});

t.test('a removed key is no longer the current key', async (t) => {
  const state = newState();
  const set: ConfigChange[] = [{ type: 'key-set', key: key(3, 'current') }];
  const [initial, first, second] = [0, 1, 2].map((index) => ({ term: 1, index }));
  if (initial === undefined || first === undefined || second === undefined) {
    return t.fail('expected three positions');
  }
  applyConfigUpdate(state, { type: 'delta', from: initial, to: first, changes: set });
  t.equal(state.currentKeyId, 3);
  const removed: ConfigChange[] = [{ type: 'key-removed', keyId: 3 }];
  applyConfigUpdate(state, { type: 'delta', from: first, to: second, changes: removed });
  t.equal(state.currentKeyId, undefined);
});
