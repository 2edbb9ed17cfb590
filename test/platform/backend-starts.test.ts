/**
 * @file Heartbeats and deregistrations over HTTP to a single control machine: calls without effect must not be acknowledged.
 * Guards against mixing up successive starts of a back end and against registering malformed entries.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import t from 'tap';
import { HEARTBEAT, HEARTBEAT_INTERVAL_MS, STARTED_AT_MS, startControl } from './control-daemon.js';

t.test(
  'a new start is registered with its own fields, even with a lower sequence number',
  async (t) => {
    const { daemon, post } = await startControl(t);
    const beat = (changes: object) =>
      post('/Backends.Heartbeat/i-1', JSON.stringify({ ...HEARTBEAT, ...changes }));
    t.equal(await beat({}), 200);
    const next = {
      callSeq: 1,
      born: STARTED_AT_MS + 4_000,
      address: '127.0.0.1:9002',
      warmupLeftMs: 2_000,
    };
    t.equal(await beat(next), 200);
    const { registry } = daemon.group.state;
    t.match(registry.get(`i-1#${STARTED_AT_MS + 4_000}`)?.record, {
      address: { port: 9_002 },
      warmUpLeftMs: 2_000,
      sequence: 1,
    });
    t.equal(registry.isSuperseded(`i-1#${STARTED_AT_MS}`), true);
    t.equal(
      await beat({ callSeq: 501 }),
      503,
      'a late heartbeat of the previous start has no effect',
    );
    t.equal(registry.currentStartOf('i-1'), `i-1#${STARTED_AT_MS + 4_000}`);
  },
);

t.test('a departure of the previous start does not affect the next one', async (t) => {
  const { daemon, post } = await startControl(t);
  const beat = (changes: object) =>
    post('/Backends.Heartbeat/i-2', JSON.stringify({ ...HEARTBEAT, ...changes }));
  const departureOf = (born: number) => daemon.group.state.replicated.departureOf(`i-2#${born}`);
  t.equal(await beat({ state: 'draining' }), 200);
  t.equal(await beat({ callSeq: 1, born: STARTED_AT_MS + 9_000 }), 200);
  t.equal(departureOf(STARTED_AT_MS), 'draining');
  t.equal(departureOf(STARTED_AT_MS + 9_000), undefined);
  t.equal(await post('/Backends.Deregister/i-2'), 503, 'it may be from the previous start');
  t.equal(await post('/Backends.Deregister/i-2', JSON.stringify({ born: STARTED_AT_MS })), 200);
  t.equal(departureOf(STARTED_AT_MS + 9_000), undefined);
  await sleep(2 * HEARTBEAT_INTERVAL_MS);
  t.equal(await post('/Backends.Deregister/i-2'), 200, 'a start that is no longer new may leave');
  t.equal(departureOf(STARTED_AT_MS + 9_000), 'gone');
});

t.test('malformed entries register no back end and change no other state', async (t) => {
  const { daemon, post } = await startControl(t);
  const { registry } = daemon.group.state;
  const sizeBefore = registry.size;
  const wrong = [
    { state: 'frozen' },
    { born: `${STARTED_AT_MS}` },
    { born: 1.5 },
    { capacity: 1e300 },
  ];
  for (const changes of [...wrong, { callSeq: -1.5 }, { zone: undefined }]) {
    const body = JSON.stringify({ ...HEARTBEAT, ...changes });
    t.equal(await post('/Backends.Heartbeat/i-3', body), 400, body);
  }
  t.equal(await post('/Backends.Heartbeat/i-3', '\u0000{'), 400);
  t.equal(await post('/Backends.Deregister/i-3'), 503, 'the back end is unknown');
  t.equal(registry.size, sizeBefore);
  t.same(daemon.group.state.replicated.allDepartures(), []);
  const counted = [...daemon.group.counts].filter(([name]) => name.startsWith('entry refused'));
  t.same(Object.fromEntries(counted), {
    'entry refused:state': 1,
    'entry refused:born': 2,
    'entry refused:capacity': 1,
    'entry refused:callSeq': 1,
    'entry refused:zone': 1,
    'entry refused:unreadable': 1,
  });
});

t.test('back ends of undeclared services are limited in number and not listed', async (t) => {
  const { daemon, post } = await startControl(t);
  const body = JSON.stringify({ ...HEARTBEAT, service: 'nobody' });
  const statuses: number[] = [];
  for (let number = 0; number < 1_010; number += 1) {
    statuses.push(await post(`/Backends.Heartbeat/i-${number}`, body));
  }
  t.equal(daemon.group.state.registry.size, 1_000);
  t.equal(statuses.filter((status) => status === 503).length, 11, 'one was registered before');
  await sleep(HEARTBEAT_INTERVAL_MS);
  t.same([...daemon.group.state.replicated.allBackends()], []);
});
