/** @file Guards against outdated zone orders that take effect, and against orders that a snapshot loses. */
import t from 'tap';
import { createZoneOrders } from '../../../src/registered/group/zone-orders.js';
import { ReplicatedState } from '../../../src/registered/group/replicated-state.js';

t.test('an order that is based on an outdated status changes nothing', async (t) => {
  const zones = createZoneOrders();
  t.equal(zones.apply({ zone: 'a', kind: 'evacuate', afterOrders: 0 }), 'changed');
  t.equal(
    zones.apply({ zone: 'a', kind: 'evacuate', afterOrders: 0 }),
    'unchanged',
    'repeated order',
  );
  t.equal(zones.apply({ zone: 'a', kind: 'readmit', afterOrders: 1 }), 'changed');
  t.equal(
    zones.apply({ zone: 'a', kind: 'evacuate', afterOrders: 0 }),
    'outdated',
    'delayed order',
  );
  t.equal(zones.apply({ zone: 'a', kind: 'evacuate', afterOrders: 1 }), 'outdated');
  t.same(zones.statusOf('a'), { zone: 'a', isEvacuated: false, orders: 2 });
  t.equal(
    zones.apply({ zone: 'b', kind: 'readmit', afterOrders: 0 }),
    'unchanged',
    'never evacuated',
  );
  t.equal(zones.apply({ zone: 'a', kind: 'evacuate', afterOrders: 2 }), 'changed');
});

t.test('zone orders are part of commands and snapshots', async (t) => {
  const state = new ReplicatedState();
  const order = { zone: 'a', kind: 'evacuate', afterOrders: 0 } as const;
  t.match(state.apply({ type: 'order-zone', order }), { type: 'zone-changed' });
  t.same(state.apply({ type: 'order-zone', order }), { type: 'nothing-changed' });
  const lateOrder = { ...order, kind: 'readmit' } as const;
  t.match(state.apply({ type: 'order-zone', order: lateOrder }), { type: 'order-outdated' });
  const restored = new ReplicatedState();
  restored.restore(state.encode());
  t.same(restored.zones.all(), [{ zone: 'a', isEvacuated: true, orders: 1 }]);
});
