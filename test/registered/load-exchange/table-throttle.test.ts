/** @file Guards against load tables that are lost, redundant or sent too often. */
import t from 'tap';
import { MIN_EXCHANGE_PERIOD_MS } from '../../../src/registered/load-exchange/exchange-period.js';
import { createTableThrottle } from '../../../src/registered/load-exchange/table-throttle.js';

t.test(
  'the first table is sent, even an empty one, and the same table is not sent again',
  async (t) => {
    const throttle = createTableThrottle();
    t.ok(throttle.admit([], 0), 'the receiver may have the table of another machine');
    t.notOk(throttle.admit([], 10_000));
    t.ok(throttle.admit([7, 1], 10_000));
  },
);

t.test('a changed table is held back until the period is over', async (t) => {
  const throttle = createTableThrottle();
  throttle.admit([7, 1], 0);
  t.ok(throttle.isThrottled(MIN_EXCHANGE_PERIOD_MS - 1));
  t.notOk(throttle.admit([7, 2], MIN_EXCHANGE_PERIOD_MS - 1));
  t.notOk(throttle.isThrottled(MIN_EXCHANGE_PERIOD_MS));
  t.ok(throttle.admit([7, 2], MIN_EXCHANGE_PERIOD_MS));
});

t.test('an unchanged table is sent again as a refresh', async (t) => {
  const throttle = createTableThrottle(1_000);
  throttle.admit([7, 1], 0);
  t.notOk(throttle.admit([7, 1], 999));
  t.ok(throttle.admit([7, 1], 1_000));
});
