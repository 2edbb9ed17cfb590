/** @file The HTTP API maps each request to a call of the group or to an error response. */
import fc from 'fast-check';
import t from 'tap';
import type { TranslatedCall } from '../../../src/registered/daemon/call-listener.js';
import { createDeclaredApi } from '../../../src/registered/daemon/declared-api.js';

const TOKEN = 'operator-token';
const HEARTBEAT = {
  service: 'alpha',
  address: '10.0.0.9:8080',
  zone: 'zone-a',
  instance: '00000000000000a1',
  sequence: 4,
};
const CONFIG = { version: 1, services: [{ name: 'alpha' }], routes: [], idleTimeoutMs: 1_000 };
const translate = createDeclaredApi(TOKEN);

function call(method: string, path: string, body: object | string, bearerToken = TOKEN) {
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  return translate({ method, path, body: text, bearerToken });
}

function statusOf(translated: TranslatedCall): number {
  return translated.type === 'reply' ? translated.reply.status : 0;
}

t.test('a heartbeat is completed with defaults', async (t) => {
  t.match(call('PUT', '/v1/backends/b-1', HEARTBEAT), {
    type: 'call',
    call: {
      type: 'heartbeat',
      isDraining: false,
      record: { id: 'b-1', instanceNumber: HEARTBEAT.instance, capacity: 1, warmUpLeftMs: 0 },
    },
  });
  t.match(call('PUT', '/v1/backends/b-1', { ...HEARTBEAT, isDraining: true }), {
    call: { isDraining: true },
  });
});

t.test('a deregistration of a back end', async (t) => {
  t.match(call('DELETE', '/v1/backends/b%201', ''), {
    call: { type: 'deregister', backendId: 'b 1' },
  });
});

t.test('a configuration is passed on whole, with defaults', async (t) => {
  t.match(call('PUT', '/v1/config', CONFIG), {
    call: {
      type: 'declare-config',
      document: {
        version: 1,
        text: JSON.stringify({
          version: 1,
          services: CONFIG.services,
          routes: [],
          idleTimeoutMs: 1_000,
        }),
      },
    },
  });
  t.match(call('GET', '/v1/config', ''), { call: { type: 'read-config' } });
});

t.test('invalid requests get an error status', async (t) => {
  t.equal(statusOf(call('GET', '/v1/backends/b-1', '')), 404);
  t.equal(statusOf(call('PUT', '/v1/backends/', HEARTBEAT)), 400);
  t.equal(statusOf(call('PUT', '/v1/backends/%E0', HEARTBEAT)), 400);
  t.equal(statusOf(call('PUT', '/v1/backends/b-1', { ...HEARTBEAT, instance: 'xyz' })), 400);
  t.equal(statusOf(call('PUT', '/v1/backends/b-1', { ...HEARTBEAT, sequence: -1 })), 400);
  t.equal(statusOf(call('PUT', '/v1/config', '{"version":1')), 400);
  t.equal(statusOf(call('PUT', '/v1/config', { ...CONFIG, version: 0 })), 400);
  t.equal(statusOf(call('POST', '/v1/config', CONFIG)), 404);
  t.equal(statusOf(call('GET', '/', '')), 404);
});

t.test('configurations require the operator token', async (t) => {
  t.equal(statusOf(call('PUT', '/v1/config', CONFIG, '')), 401);
  t.equal(statusOf(call('GET', '/v1/config', '', 'another')), 401);
  t.equal(call('PUT', '/v1/backends/b-1', HEARTBEAT, '').type, 'call', 'heartbeats need no token');
  const open = createDeclaredApi(undefined);
  t.equal(open({ method: 'GET', path: '/v1/config', body: '', bearerToken: '' }).type, 'call');
});

t.test('no request makes the translation throw', async (t) => {
  const paths = fc.oneof(
    fc.string(),
    fc.string().map((id) => `/v1/backends/${id}`),
    fc.constant('/v1/config'),
  );
  const bodies = fc.oneof(fc.string(), fc.json());
  fc.assert(
    fc.property(fc.constantFrom('GET', 'PUT', 'DELETE'), paths, bodies, (method, path, body) => {
      const translated = call(method, path, body);
      return translated.type === 'call' || translated.reply.status >= 400;
    }),
    { numRuns: 2_000, seed: 1 },
  );
  t.pass();
});
