/** @file Soak calls are translated to and from the declared HTTP API, and leaders are read from logs. */
import t from 'tap';
import { createDeclaredApi } from '../../../src/registered/daemon/declared-api.js';
import type { GroupCall } from '../../../src/registered/daemon/group-process.js';
import { IngressOracle } from '../../../src/proof/sim-registered/ingress-oracle.js';
import { recordLeadersFromLog } from '../../../src/proof/soak/run-soak.js';
import { replyOf, requestFor } from '../../../src/proof/soak/soak-calls.js';

const TOKEN = 'operator-token';
const TO = { host: '127.0.0.1', port: 7_702 };
const BOUNDS = {
  drainBoundMs: 3_000,
  applyBoundMs: 3_000,
  contactMs: 4_000,
  evacuationBoundMs: 4_000,
  coldFlowsPerS: 5,
};
const config = {
  version: 3,
  services: [{ name: 'alpha' }],
  routes: [
    {
      name: 'r',
      host: '198.18.0.1',
      port: 443,
      targets: [{ service: 'alpha', weight: 1 }],
      kind: 'repeatable',
      timeoutMs: 1_000,
    },
  ],
  idleTimeoutMs: 15_000,
};
const calls: GroupCall[] = [
  {
    type: 'heartbeat',
    isDraining: true,
    record: {
      id: 'backend-1',
      instanceNumber: '00000000000000a1',
      service: 'alpha',
      address: { host: '127.10.2.1', port: 9_000 },
      zone: 'zone-a',
      capacity: 2,
      warmUpLeftMs: 0,
      sequence: 4,
    },
  },
  { type: 'deregister', backendId: 'backend-1' },
  { type: 'declare-config', document: { version: 3, text: JSON.stringify(config) } },
  { type: 'read-config' },
];

t.test('the declared API parses each call unchanged', async (t) => {
  const translate = createDeclaredApi(TOKEN);
  for (const call of calls) {
    const { method, path, body, bearerToken } = requestFor(call, TO, TOKEN);
    const text = body === undefined ? '' : JSON.stringify(body);
    const translated = translate({ method, path, body: text, bearerToken: bearerToken ?? '' });
    t.same(translated, { type: 'call', call }, call.type);
  }
});

t.test('a response maps to an acknowledgement or to the current configuration', async (t) => {
  const [heartbeat, , , read] = calls;
  if (heartbeat === undefined || read === undefined) {
    throw new Error('No call.');
  }
  t.equal(replyOf(heartbeat, { status: 200, body: {} }).type, 'accepted');
  t.equal(replyOf(heartbeat, { status: 503, body: {} }).type, 'unavailable');
  t.match(replyOf(read, { status: 200, body: { version: 7 } }), { document: { version: 7 } });
  t.same(replyOf(read, { status: 404, body: {} }), { type: 'config', document: undefined });
  t.equal(
    replyOf(read, { status: 503, body: {} }).type,
    'unavailable',
    'an error makes no claim about the configuration',
  );
});

t.test('logs that show two leaders in one term are a violation', async (t) => {
  const line = (term: number) =>
    `2026-01-01 info [control] role role=leader term=${term} commit=1\n`;
  const oracle = new IngressOracle(BOUNDS);
  recordLeadersFromLog(line(1) + line(3), 'control-1', oracle, 0);
  recordLeadersFromLog(line(2), 'control-2', oracle, 0);
  t.same(oracle.violations, []);
  recordLeadersFromLog(line(3), 'control-3', oracle, 0);
  t.match(oracle.violations, [{ check: 'leader' }]);
});
