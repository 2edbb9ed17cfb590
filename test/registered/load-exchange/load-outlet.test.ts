/** @file A list of loads is sent where it has changed, and not too often. */
import t from 'tap';
import { SHORTEST_EXCHANGE_PERIOD_MS } from '../../../src/registered/load-exchange/exchange-period.js';
import { createLoadOutlet } from '../../../src/registered/load-exchange/load-outlet.js';

t.test(
  'the first list is sent, also an empty one, and the same list is not sent again',
  async (t) => {
    const outlet = createLoadOutlet();
    t.ok(outlet.offer([], 0), 'the receiver may hold what another machine told');
    t.notOk(outlet.offer([], 10_000));
    t.ok(outlet.offer([7, 1], 10_000));
  },
);

t.test('a changed list waits until the period is over', async (t) => {
  const outlet = createLoadOutlet();
  outlet.offer([7, 1], 0);
  t.ok(outlet.isWaiting(SHORTEST_EXCHANGE_PERIOD_MS - 1));
  t.notOk(outlet.offer([7, 2], SHORTEST_EXCHANGE_PERIOD_MS - 1));
  t.notOk(outlet.isWaiting(SHORTEST_EXCHANGE_PERIOD_MS));
  t.ok(outlet.offer([7, 2], SHORTEST_EXCHANGE_PERIOD_MS));
});

t.test('an unchanged list is sent again where its receiver forgets it', async (t) => {
  const outlet = createLoadOutlet(1_000);
  outlet.offer([7, 1], 0);
  t.notOk(outlet.offer([7, 1], 999));
  t.ok(outlet.offer([7, 1], 1_000));
});
