/** @file Guards against a wrong current start of a back end after delayed and reordered heartbeats. */
import t from 'tap';
import { startIdOf, startOf } from '../../../src/registered/registry/backend-start.js';
import { plainTokenOf, tokenOf } from '../../../src/registered/registry/backend-token.js';
import { createCurrentStarts } from '../../../src/registered/registry/current-starts.js';

const INTERVAL_MS = 1_000;
const FIRST = startIdOf({ backend: 'b', startedAtMs: 1_000 });
const NEXT = startIdOf({ backend: 'b', startedAtMs: 5_000 });

t.test('an ID contains the name of the back end and its start time', async (t) => {
  t.same(startOf(FIRST), { backend: 'b', startedAtMs: 1_000 });
  t.same(startOf('b'), { backend: 'b', startedAtMs: undefined }, 'without a start time');
});

t.test('a later start is current with its first heartbeat', async (t) => {
  const starts = createCurrentStarts(INTERVAL_MS);
  starts.recordHeartbeat(FIRST, 0);
  starts.recordHeartbeat(NEXT, 400);
  t.equal(starts.currentOf('b'), NEXT);
  t.equal(starts.isSuperseded(FIRST), true);
  starts.recordHeartbeat('other', 500);
  t.equal(starts.currentOf('b'), NEXT, 'another back end has no effect');
});

t.test('a start without a time comes before all others', async (t) => {
  const starts = createCurrentStarts(INTERVAL_MS);
  starts.recordHeartbeat('b', 0);
  starts.recordHeartbeat(FIRST, 100);
  starts.recordHeartbeat('b', 200);
  t.equal(starts.currentOf('b'), FIRST);
});

t.test('delayed heartbeats of an unknown earlier start do not make it current', async (t) => {
  const starts = createCurrentStarts(INTERVAL_MS);
  starts.recordHeartbeat(NEXT, 0);
  starts.recordHeartbeat(FIRST, 100);
  starts.recordHeartbeat(FIRST, 150);
  t.equal(starts.currentOf('b'), NEXT);
  t.equal(starts.isSuperseded(FIRST), true);
});

t.test('after a clock was set back, the start that keeps sending is current', async (t) => {
  const starts = createCurrentStarts(INTERVAL_MS);
  starts.recordHeartbeat(NEXT, 0);
  starts.recordHeartbeat(FIRST, 500);
  t.equal(starts.currentOf('b'), NEXT);
  starts.recordHeartbeat(FIRST, 1_500);
  t.equal(starts.currentOf('b'), FIRST, 'two intervals after its first heartbeat at the latest');
  starts.recordHeartbeat(NEXT, 1_600);
  t.equal(starts.currentOf('b'), FIRST, 'a delayed heartbeat of the other one has no effect');
});

t.test(
  'the latest listed start is current, also after a heartbeat of an earlier one',
  async (t) => {
    const starts = createCurrentStarts(INTERVAL_MS);
    starts.recordListed(NEXT);
    starts.recordListed(FIRST);
    t.equal(starts.currentOf('b'), NEXT);
    const late = createCurrentStarts(INTERVAL_MS);
    late.recordHeartbeat(FIRST, 0);
    late.recordListed(NEXT);
    t.equal(late.currentOf('b'), NEXT);
  },
);

t.test('a removed start is no longer current', async (t) => {
  const starts = createCurrentStarts(INTERVAL_MS);
  starts.recordHeartbeat(NEXT, 0);
  starts.remove(NEXT);
  t.equal(starts.currentOf('b'), undefined);
  starts.recordHeartbeat(FIRST, 100);
  t.equal(starts.currentOf('b'), FIRST);
});

t.test('each start of a back end has its own token', async (t) => {
  const instanceNumber = '00000000000000a1';
  const tokens = new Set<number>();
  for (let startedAtMs = 1_790_000_000_000; tokens.size < 2_000; startedAtMs += 1) {
    const token = tokenOf({ id: startIdOf({ backend: 'b', startedAtMs }), instanceNumber });
    t.ok(token > 0 && token < 2 ** 32 && !tokens.has(token), `${startedAtMs}`);
    tokens.add(token);
  }
  t.equal(tokenOf({ id: 'b', instanceNumber }), plainTokenOf({ instanceNumber }));
});
