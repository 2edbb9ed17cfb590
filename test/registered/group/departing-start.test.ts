/** @file Guards against a delayed departure that ends the wrong start of a back end. */
import { ok } from 'neverthrow';
import t from 'tap';
import { departingStart } from '../../../src/registered/group/calls/departing-start.js';
import { createGroupState, type GroupState } from '../../../src/registered/group/group-state.js';
import { startNumberOf } from '../../../src/registered/group/calls/forward-ids.js';
import type { BackendRecord } from '../../../src/registered/registry/backend-record.js';
import { startIdOf } from '../../../src/registered/registry/backend-start.js';
import { timingFor } from '../../../src/registered/group/timing.js';

const INTERVAL_MS = 1_200;
const FIRST = startIdOf({ backend: 'b', startedAtMs: 1_000 });
const NEXT = startIdOf({ backend: 'b', startedAtMs: 5_000 });

function emptyState(): GroupState {
  const address = { host: '127.0.0.1', port: 7_700 };
  return createGroupState(
    {
      linkAddress: address,
      zone: 'zone-a',
      zones: [],
      seeds: [address],
      isFirstStart: true,
      tolerableLosses: 0,
      heartbeatIntervalMs: INTERVAL_MS,
      forgetBackendAfterMs: 60_000,
      removeVoterAfterMs: 2_000,
      requestDeadlineMs: 850,
      readDocument: () => ok({ version: 1, routes: [], services: [], idleTimeoutMs: 1_000 }),
      timing: timingFor({ contactMs: 4_000, applyMs: 3_000, drainMs: 3_000 }),
      minimumCopies: 1,
    },
    { storageId: 'disk', snapshot: undefined, records: [] },
    startNumberOf(1),
  );
}

function recordOf(id: string): BackendRecord {
  return {
    id,
    instanceNumber: '00000000000000a1',
    service: 'alpha',
    address: { host: '10.0.2.1', port: 9_000 },
    zone: 'zone-a',
    capacity: 2,
    warmUpLeftMs: 0,
    sequence: 1,
  };
}

t.test('a departure with a start ID ends that start', async (t) => {
  const state = emptyState();
  state.registry.apply(recordOf(NEXT), 0);
  t.same(departingStart(state, FIRST, 10_000), { type: 'start', id: FIRST });
  t.same(departingStart(state, NEXT, 10_000), { type: 'start', id: NEXT });
});

t.test('a departure with a plain name ends the current start', async (t) => {
  const state = emptyState();
  state.registry.apply(recordOf('b'), 0);
  t.same(departingStart(state, 'b', 100), { type: 'start', id: 'b' }, 'no earlier start is known');
  state.replicated.apply({ type: 'register-backends', records: [recordOf('b')] });
  state.registry.apply(recordOf(NEXT), 1_000);
  t.same(departingStart(state, 'b', 1_000 + 2 * INTERVAL_MS), { type: 'start', id: NEXT });
});

t.test('a departure with a plain name is ambiguous while the current start is new', async (t) => {
  const state = emptyState();
  state.replicated.apply({ type: 'register-backends', records: [recordOf(FIRST)] });
  state.registry.apply(recordOf(NEXT), 1_000);
  t.same(departingStart(state, 'b', 1_000 + INTERVAL_MS), { type: 'ambiguous' });
  const departure = { backendId: FIRST, kind: 'gone' } as const;
  state.replicated.apply({ type: 'note-departure', departure });
  t.same(
    departingStart(state, 'b', 1_000 + INTERVAL_MS),
    { type: 'ambiguous' },
    'after the earlier start has departed',
  );
});

t.test('the latest start is ended if the back end is only in the replicated state', async (t) => {
  const state = emptyState();
  t.same(departingStart(state, 'b', 0), { type: 'unknown' });
  const records = [recordOf(NEXT), recordOf(FIRST)];
  state.replicated.apply({ type: 'register-backends', records });
  t.same(departingStart(state, 'b', 0), { type: 'start', id: NEXT });
});

t.test('an earlier start that is only in the registry makes a departure ambiguous', async (t) => {
  const state = emptyState();
  state.registry.apply(recordOf(FIRST), 0);
  state.registry.apply(recordOf(NEXT), 1_000);
  t.same(departingStart(state, 'b', 1_000 + INTERVAL_MS), { type: 'ambiguous' });
});
