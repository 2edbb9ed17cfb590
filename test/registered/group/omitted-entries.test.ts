/**
 * @file Guards against one entry that can't be applied holding up all others: in messages of an older version, which checked
 * less, and in what it has stored.
 */
import { ok, err } from 'neverthrow';
import t from 'tap';
import { amberliftError } from '../../../src/shared/common/error-kinds.js';
import { readStoredDocument } from '../../../platform/config-document.js';
import { readStoredConfig } from '../../../src/registered/declared/parse-config.js';
import { defaultSwitches } from '../../../src/registered/decisions/mechanism-switches.js';
import { applyEntry, type AppliedState } from '../../../src/registered/group/applied-entries.js';
import { createConfigHistory } from '../../../src/registered/group/feed/config-history.js';
import type { FeedMessage } from '../../../src/registered/group/group-messages.js';
import { parseControlInbound } from '../../../src/registered/group/message-schemas.js';
import {
  encodeGroupCommand,
  ReplicatedState,
} from '../../../src/registered/group/replicated-state.js';
import { widestTiming } from '../../../src/registered/group/timing.js';
import { packFeed, unpackFeed } from '../../../src/registered/group/wire/feed-codec.js';
import type { OmittedEntry } from '../../../src/registered/group/wire/omitted-entries.js';
import { applyFeedMessage } from '../../../src/registered/ingress/feed-step.js';
import { createIngressState } from '../../../src/registered/ingress/ingress-state.js';
import { boundedName } from '../../../src/registered/registry/bounded-name.js';
import { recordOf } from '../decisions/backend-records.js';

const LONG_NAME = 'n'.repeat(208);
const LONG_HOST = `fe80::1%${'z'.repeat(250)}`;
const HEADER = { type: 'feed', isCurrent: true, isComplete: true, isCounted: true } as const;
const CONFIG = {
  version: 4,
  baseVersion: 0,
  idleTimeoutMs: 15_000,
  warmUps: [],
  firstChange: 0,
};

function balancerState() {
  return createIngressState({
    name: 'balancer-1',
    zone: 'zone-a',
    heartbeatIntervalMs: 1_000,
    flowLifetimeMs: 60_000,
    feed: widestTiming.feed,
    maxCountedFlows: 1_000,
    switches: defaultSwitches,
  });
}

function receive(message: FeedMessage) {
  const omitted: OmittedEntry[] = [];
  const received = unpackFeed(packFeed(message), (entry) => omitted.push(entry));
  return { received, kinds: omitted.map(({ kind }) => kind) };
}

t.test('a balancer takes all valid entries of a feed, and names the others', async (t) => {
  const farAway = { host: LONG_HOST, port: 9_000 };
  const { received, kinds } = receive({
    ...HEADER,
    records: [1, 2, 3].map((number) => ({
      record: recordOf(number, number === 2 ? { address: farAway } : {}),
      ageMs: 0,
    })),
    judgements: [
      { backendId: 'backend-1', liveness: 'alive', silentMs: Number.NaN },
      { backendId: 'backend-3', liveness: 'suspect', silentMs: 3_000 },
    ],
    departures: [
      { backendId: LONG_NAME, kind: 'gone' },
      { backendId: 'backend-3', kind: 'draining' },
    ],
    balancers: [
      { name: LONG_NAME, zone: 'zone-a', peerAddress: { host: '10.0.3.2', port: 7_700 } },
      { name: 'balancer-3', zone: 'zone-a', peerAddress: { host: '10.0.3.3', port: 7_700 } },
    ],
    lostBalancers: [LONG_NAME, 'balancer-4'],
    controls: [{ linkAddress: farAway }, { linkAddress: { host: '10.0.4.1', port: 7_720 } }],
    zones: [
      { zone: LONG_NAME, isEvacuated: true, orders: 1 },
      { zone: 'zone-b', isEvacuated: true, orders: 1 },
    ],
    loads: [7, -1, 9, 2],
  });
  t.match(received, {
    records: [{ record: { id: 'backend-1' } }, { record: { id: 'backend-3' } }],
    judgements: [{ backendId: 'backend-3' }],
    departures: [{ backendId: 'backend-3' }],
    balancers: [{ name: 'balancer-3' }],
    lostBalancers: ['balancer-4'],
    controls: [{ linkAddress: { host: '10.0.4.1' } }],
    zones: [{ zone: 'zone-b' }],
    loads: [9, 2],
  });
  t.equal(received?.records?.length, 2);
  t.same(kinds, [
    'backend',
    'liveness',
    'departure',
    'balancer',
    'lost balancer',
    'control',
    'zone',
    'load',
  ]);
});

t.test('a configuration of an older version takes effect but for its invalid parts', async (t) => {
  const state = balancerState();
  const { received, kinds } = receive({
    ...HEADER,
    config: {
      ...CONFIG,
      idleTimeoutMs: -1,
      warmUps: [
        { service: 'alpha', warmUpMs: Number.POSITIVE_INFINITY, coldRequestsPerS: 1 },
        { service: LONG_NAME, warmUpMs: 2_000, coldRequestsPerS: 1 },
      ],
      changes: [
        {
          host: '198.18.0.1',
          port: 443,
          targets: [
            { service: 'alpha', weight: -1 },
            { service: LONG_NAME, weight: 1 },
          ],
          attributes: { priority: Number.NaN, latencyObjectiveMs: 100 },
        },
        { host: '198.18.0.2', port: 443, targets: [{ service: 'beta', weight: 1 }] },
      ],
      changeCount: 2,
    },
  });
  t.same(kinds.sort(), ['route attributes', 'slow start', 'target']);
  t.same(received && applyFeedMessage(state, received, 0), { type: 'in-force', version: 4 });
  const [first, second] = [0xc6120001, 0xc6120002];
  t.equal(state.routes.nextService(first, 443), boundedName(LONG_NAME));
  t.equal(state.routes.nextService(second, 443), 'beta');
  t.equal(state.routes.config?.warmUps.get(boundedName(LONG_NAME))?.warmUpMs, 2_000);
  t.equal(state.routes.config?.idleTimeoutMs, 15_000);
});

t.test('names of an older sender are those that back ends are known by', async (t) => {
  const name = 'n'.repeat(150);
  const targets = [{ service: name, weight: 1 }];
  const changes = [{ host: '198.18.0.1', port: 443, targets }];
  const warmUps = [{ service: name, warmUpMs: 1, coldRequestsPerS: 1 }];
  const { received, kinds } = receive({
    ...HEADER,
    config: { ...CONFIG, warmUps, changes, changeCount: 1 },
  });
  t.match(received?.config, {
    warmUps: [{ service: boundedName(name) }],
    changes: [{ targets: [{ service: boundedName(name) }] }],
  });
  t.same(kinds, []);
});

t.test('a control machine takes the valid entries of another one', async (t) => {
  const omitted: OmittedEntry[] = [];
  const farAway = { host: LONG_HOST, port: 9_000 };
  const records = [recordOf(1, { address: farAway }), recordOf(2), recordOf(3, { capacity: -1 })];
  const message = { type: 'heartbeats', records: records.map((record) => ({ record, ageMs: 1 })) };
  const parsed = parseControlInbound(message, (entry) => omitted.push(entry));
  t.same(parsed, { type: 'heartbeats', records: [{ record: recordOf(2), ageMs: 1 }] });
  t.same(
    omitted.map(({ kind, entry }) => [kind, entry]),
    [
      ['backend', 'backend-1'],
      ['backend', 'backend-3'],
    ],
  );
  const peerAddress = { host: '10.0.3.3', port: 7_700 };
  const balancers = ['balancer-1', LONG_NAME].map((name) => ({ name, zone: 'z', peerAddress }));
  const list = { type: 'balancers', sender: peerAddress, zone: 'z', balancers };
  t.match(parseControlInbound(list), { balancers: [{ name: 'balancer-1' }] });
  t.equal(parseControlInbound({ ...message, records: 'none' }), undefined);
});

t.test('a stored configuration is read without what no receiver can hold', async (t) => {
  const route = { name: 'r', host: '198.18.0.1', pathPrefix: '/443/', timeoutMs: 9 };
  const services = [
    { name: LONG_NAME, warmupS: 1e306, coldPerS: 2 },
    { name: 'beta', warmupS: 2, coldPerS: 2 },
  ];
  const routes = [{ ...route, service: LONG_NAME }];
  const limits = { idleTimeoutMs: -1 };
  const config = readStoredDocument(JSON.stringify({ version: 3, routes, services, limits }));
  t.match(config._unsafeUnwrap(), {
    routes: [{ targets: [{ service: boundedName(LONG_NAME), weight: 1 }] }],
    services: [
      { name: boundedName(LONG_NAME), warmUpMs: undefined },
      { name: 'beta', warmUpMs: 2_000 },
    ],
    idleTimeoutMs: 15_000,
  });
  const targets = [
    { service: 'alpha', weight: -1 },
    { service: 'beta', weight: 1 },
  ];
  const native = { version: 3, routes: [{ ...route, targets }], services: [], idleTimeoutMs: 0 };
  t.match(readStoredConfig(JSON.stringify(native))._unsafeUnwrap(), {
    routes: [{ targets: [{ service: 'beta' }] }],
    idleTimeoutMs: 15_000,
  });
  t.ok(readStoredConfig('{').isErr());
});

t.test('a document that can not be read leaves the previous configuration in force', async (t) => {
  const previous = { version: 2, routes: [], services: [], idleTimeoutMs: 1 };
  const configs = createConfigHistory(previous);
  const replicated = new ReplicatedState();
  const applied: number[] = [];
  const state = {
    configs,
    replicated,
    calls: { takeAppended: () => undefined },
    options: {
      readDocument: ({ version }: { readonly version: number }) =>
        version === 3
          ? err(amberliftError('invalid-command', 'odd'))
          : ok({ ...previous, version }),
    },
  } as unknown as AppliedState;
  const declare = (version: number) => {
    const data = encodeGroupCommand({ type: 'declare-config', document: { version, text: '' } });
    return applyEntry(state, { index: version, term: 1, content: { type: 'command', data } }, 0);
  };
  t.match(declare(3), [{ name: 'config unreadable', fields: { version: 3, kept: 2 } }]);
  applied.push(configs.version);
  t.match(declare(4), [{ name: 'config in force', fields: { version: 4 } }]);
  applied.push(configs.version);
  t.same(applied, [2, 4]);
});
