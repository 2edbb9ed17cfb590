/** @file Lines on packets stay within their budget, and skipped lines are counted. */
import t from 'tap';
import { createRequestLog } from '../../../src/registered/daemon/request-log.js';

function createLog(linesPerSecond: number, bytesPerSecond = 10_000) {
  const lines: string[] = [];
  const clock = { nowMs: 0 };
  const log = createRequestLog({
    nowMs: () => clock.nowMs,
    write: (name, text) => lines.push(`${name} ${text}`),
    budget: { linesPerSecond, bytesPerSecond },
  });
  return { lines, clock, log };
}

t.test(
  'a flood of one kind does not affect others, and its skipped lines are counted',
  async (t) => {
    const { lines, clock, log } = createLog(3);
    for (let number = 0; number < 415; number += 1) {
      log.log('placed', { number });
    }
    log.log('reset', { reason: 'no-route' });
    t.same(lines, [
      'placed number=0',
      'placed number=1',
      'placed number=2',
      'reset reason=no-route',
    ]);
    clock.nowMs = 999;
    log.flush();
    t.equal(lines.length, 4, 'the window has not ended');
    clock.nowMs = 1_000;
    log.flush();
    t.equal(lines.at(-1), 'skipped kind=placed lines=412');
    log.log('placed', { number: 1_000 });
    t.equal(lines.at(-1), 'placed number=1000', 'a new window has a new budget');
  },
);

t.test('the next line of a kind closes the previous window', async (t) => {
  const { lines, clock, log } = createLog(1);
  log.log('placed', { number: 0 });
  log.log('placed', { number: 1 });
  clock.nowMs = 5_000;
  log.log('placed', { number: 2 });
  t.same(lines, ['placed number=0', 'skipped kind=placed lines=1', 'placed number=2']);
});

t.test('long lines exhaust the byte budget', async (t) => {
  const { lines, clock, log } = createLog(100, 40);
  log.log('placed', { flow: 'x'.repeat(30) });
  log.log('placed', { flow: 'x'.repeat(30) });
  clock.nowMs = 1_000;
  log.flush();
  t.same(lines.slice(1), ['skipped kind=placed lines=1']);
});
