/** @file Guards against opens that are forgotten too early or kept too long, and against unbounded memory. */
import t from 'tap';
import { OpenMemory } from '../../../src/registered/ingress/open-memory.js';

const PERIOD_MS = 2_000;
const MORE_THAN_BOUND = 250_000;
const BOUND = 200_000;

t.test('an open is remembered for at least one period and at most two', async (t) => {
  const memory = new OpenMemory(PERIOD_MS);
  memory.remember('a', 7, 0);
  t.equal(memory.recall('a', PERIOD_MS), 7);
  t.equal(memory.recall('a', 2 * PERIOD_MS), undefined);
  memory.remember('b', 8, 10_000);
  t.equal(memory.recall('b', 20_000), undefined, 'also expires during a pause');
});

t.test('the number of remembered opens is limited', async (t) => {
  const memory = new OpenMemory(PERIOD_MS);
  for (let number = 0; number < MORE_THAN_BOUND; number += 1) {
    memory.remember(`flow-${number}`, 7, 0);
  }
  t.equal(memory.recall(`flow-${BOUND - 1}`, 0), 7);
  t.equal(memory.recall(`flow-${BOUND}`, 0), undefined);
});
