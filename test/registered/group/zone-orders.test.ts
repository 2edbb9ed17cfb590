/** @file Orders for zones: what follows the last one changes the zone, what comes late changes nothing. */
import t from 'tap';
import { createZoneOrders } from '../../../src/registered/group/zone-orders.js';
import { ReplicatedState } from '../../../src/registered/group/replicated-state.js';

t.test('an order that another one has overtaken changes nothing', async (t) => {
  const zones = createZoneOrders();
  t.equal(zones.apply({ zone: 'a', kind: 'evacuate', afterOrders: 0 }), 'changed');
  t.equal(zones.apply({ zone: 'a', kind: 'evacuate', afterOrders: 0 }), 'known', 'sent again');
  t.equal(zones.apply({ zone: 'a', kind: 'readmit', afterOrders: 1 }), 'changed');
  t.equal(
    zones.apply({ zone: 'a', kind: 'evacuate', afterOrders: 0 }),
    'outdated',
    'held until now',
  );
  t.equal(zones.apply({ zone: 'a', kind: 'evacuate', afterOrders: 1 }), 'outdated');
  t.same(zones.statusOf('a'), { zone: 'a', isEvacuated: false, orders: 2 });
  t.equal(zones.apply({ zone: 'b', kind: 'readmit', afterOrders: 0 }), 'known', 'never evacuated');
  t.equal(zones.apply({ zone: 'a', kind: 'evacuate', afterOrders: 2 }), 'changed');
});

t.test('orders are a part of the whole state', async (t) => {
  const state = new ReplicatedState();
  const order = { zone: 'a', kind: 'evacuate', afterOrders: 0 } as const;
  t.match(state.apply({ type: 'order-zone', order }), { type: 'zone-changed' });
  t.same(state.apply({ type: 'order-zone', order }), { type: 'nothing-changed' });
  const late = { ...order, kind: 'readmit' } as const;
  t.match(state.apply({ type: 'order-zone', order: late }), { type: 'order-outdated' });
  const restored = new ReplicatedState();
  restored.restore(state.encode());
  t.same(restored.zones.all(), [{ zone: 'a', isEvacuated: true, orders: 1 }]);
});
