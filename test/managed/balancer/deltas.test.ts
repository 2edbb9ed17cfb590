/** @file Deltas that arrive out of order, more than once or from a past term. */
import fc from 'fast-check';
import t from 'tap';
import {
  createBalancerState,
  type BalancerState,
} from '../../../src/managed/balancer/balancer-state.js';
import { applyConfigUpdate } from '../../../src/managed/balancer/config-tables.js';
import { defaultBalancerOptions } from '../../../src/managed/balancer/balancer-options.js';
import type { ConfigDelta } from '../../../src/managed/control/config-delta.js';

const LENGTH = 8;

function emptyBalancer(): BalancerState {
  return createBalancerState({
    ...defaultBalancerOptions,
    balancerId: 'balancer-1',
    zone: 'zone-a',
    controlAddresses: [],
    clusterKey: 'test-cluster-key',
  });
}

/** Delta n adds back end n; the term changes halfway. */
function delta(index: number): ConfigDelta {
  const term = (at: number) => (at > LENGTH / 2 ? 2 : 1);
  const address = { host: '10.5.0.1', port: 9_000 + index };
  const backend = {
    id: index,
    serviceId: 1,
    address,
    healthAddress: address,
    zone: 'zone-a',
    adminState: 'active' as const,
  };
  return {
    type: 'delta',
    from: { term: index === 1 ? 0 : term(index - 1), index: index - 1 },
    to: { term: term(index), index },
    changes: [{ type: 'backend-set', backend }],
  };
}

t.test('the configuration matches its position, whatever the order of the deltas', async () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: LENGTH }), { maxLength: 40 }), (order) => {
      const state = emptyBalancer();
      for (const index of order) {
        const previousIndex = state.position.index;
        const applied = applyConfigUpdate(state, delta(index));
        const ids = [...state.config.backends.keys()];
        const expected = Array.from({ length: state.position.index }, (_, at) => at + 1);
        if (applied !== (index === previousIndex + 1) || ids.join() !== expected.join()) {
          return false;
        }
      }
      return true;
    }),
    { seed: 1 },
  );
});

t.test('a delta with a higher index from a past term is rejected', async (t) => {
  const state = emptyBalancer();
  const to = { term: 3, index: 4 };
  applyConfigUpdate(state, { type: 'snapshot', to, services: [], backends: [], keys: [] });
  const pastTermDelta = { ...delta(5), from: to, to: { term: 2, index: 5 } };
  t.equal(applyConfigUpdate(state, pastTermDelta), false);
  t.same(state.position, to);
  t.equal(state.config.backends.size, 0);
});
