/** @file Which start of a back end is current, whatever order heartbeats come in. */
import t from 'tap';
import { startIdOf, startOf } from '../../../src/registered/registry/backend-start.js';
import { plainTokenOf, tokenOf } from '../../../src/registered/registry/backend-token.js';
import { createStartHolders } from '../../../src/registered/registry/start-holders.js';

const INTERVAL_MS = 1_000;
const FIRST = startIdOf({ backend: 'b', startedAtMs: 1_000 });
const NEXT = startIdOf({ backend: 'b', startedAtMs: 5_000 });

t.test('an ID names the back end and its start', async (t) => {
  t.same(startOf(FIRST), { backend: 'b', startedAtMs: 1_000 });
  t.same(startOf('b'), { backend: 'b', startedAtMs: undefined }, 'where it says no time');
});

t.test('a later start is current with its first heartbeat', async (t) => {
  const starts = createStartHolders(INTERVAL_MS);
  starts.recordHeartbeat(FIRST, 0);
  starts.recordHeartbeat(NEXT, 400);
  t.equal(starts.currentOf('b'), NEXT);
  t.equal(starts.isSuperseded(FIRST), true);
  starts.recordHeartbeat('other', 500);
  t.equal(starts.currentOf('b'), NEXT, 'another back end has no part in it');
});

t.test('a start that says no time comes before all that do', async (t) => {
  const starts = createStartHolders(INTERVAL_MS);
  starts.recordHeartbeat('b', 0);
  starts.recordHeartbeat(FIRST, 100);
  starts.recordHeartbeat('b', 200);
  t.equal(starts.currentOf('b'), FIRST);
});

t.test('a held-up heartbeat of a start that is not known makes it not current', async (t) => {
  const starts = createStartHolders(INTERVAL_MS);
  starts.recordHeartbeat(NEXT, 0);
  starts.recordHeartbeat(FIRST, 100);
  starts.recordHeartbeat(FIRST, 150);
  t.equal(starts.currentOf('b'), NEXT);
  t.equal(starts.isSuperseded(FIRST), true);
});

t.test('a clock that was put back: the start that goes on is current', async (t) => {
  const starts = createStartHolders(INTERVAL_MS);
  starts.recordHeartbeat(NEXT, 0);
  starts.recordHeartbeat(FIRST, 500);
  t.equal(starts.currentOf('b'), NEXT);
  starts.recordHeartbeat(FIRST, 1_500);
  t.equal(starts.currentOf('b'), FIRST, 'two intervals after its first heartbeat at the latest');
  starts.recordHeartbeat(NEXT, 1_600);
  t.equal(starts.currentOf('b'), FIRST, 'what comes late of the other one changes nothing');
});

t.test(
  'of the list the latest start is current, also where an earlier one was heard',
  async (t) => {
    const starts = createStartHolders(INTERVAL_MS);
    starts.recordListed(NEXT);
    starts.recordListed(FIRST);
    t.equal(starts.currentOf('b'), NEXT);
    const late = createStartHolders(INTERVAL_MS);
    late.recordHeartbeat(FIRST, 0);
    late.recordListed(NEXT);
    t.equal(late.currentOf('b'), NEXT);
  },
);

t.test('a start that is forgotten leaves the name', async (t) => {
  const starts = createStartHolders(INTERVAL_MS);
  starts.recordHeartbeat(NEXT, 0);
  starts.remove(NEXT);
  t.equal(starts.currentOf('b'), undefined);
  starts.recordHeartbeat(FIRST, 100);
  t.equal(starts.currentOf('b'), FIRST);
});

t.test('starts of one back end have tokens of their own', async (t) => {
  const instanceNumber = '00000000000000a1';
  const tokens = new Set<number>();
  for (let startedAtMs = 1_790_000_000_000; tokens.size < 2_000; startedAtMs += 1) {
    const token = tokenOf({ id: startIdOf({ backend: 'b', startedAtMs }), instanceNumber });
    t.ok(token > 0 && token < 2 ** 32 && !tokens.has(token), `${startedAtMs}`);
    tokens.add(token);
  }
  t.equal(tokenOf({ id: 'b', instanceNumber }), plainTokenOf({ instanceNumber }));
});
