/** @file Translation of HTTP calls of back ends and operators, and refusal of malformed ones. */
import fc from 'fast-check';
import t from 'tap';
import { readConfigDocument, readStoredDocument } from '../../platform/config-document.js';
import { instanceNumberOf, translateCall } from '../../platform/control-api.js';
import type { TranslatedCall } from '../../src/registered/daemon/call-listener.js';

const HEARTBEAT = {
  service: 'alpha',
  address: '10.128.0.9:8080',
  zone: 'zone-a',
  version: 'v1',
  capacity: 2,
  state: 'ready',
  warmupLeftMs: 0,
  callSeq: 4,
};
const CONFIG = {
  version: 7,
  routes: [
    {
      name: 'r-1',
      host: '198.18.0.1',
      pathPrefix: '/8443/',
      type: 'safe',
      timeoutMs: 800,
      trafficSplit: [
        { service: 'alpha', weight: 90 },
        { service: 'beta', weight: 10 },
      ],
    },
    { name: 'r-2', host: '198.18.0.2', pathPrefix: '/8443/', timeoutMs: 10, service: 'beta' },
  ],
  services: [{ name: 'alpha' }, { name: 'beta' }],
  limits: { idleTimeoutMs: 15_000 },
};

function translate(method: string, path: string, body: string): TranslatedCall {
  return translateCall({ method, path, body, bearerToken: '' });
}

type Changes = Readonly<Record<string, unknown>>;

function putConfig(changes: Changes, route: Changes = {}) {
  const [first, second] = CONFIG.routes;
  const routes = [{ ...first, ...route }, second];
  return translate('POST', '/Config.Put', JSON.stringify({ ...CONFIG, routes, ...changes }));
}

function statusOf(translated: TranslatedCall): number {
  return translated.type === 'reply' ? translated.reply.status : 0;
}

function refusalOf(translated: TranslatedCall): string | undefined {
  return translated.type === 'reply' ? translated.refusal : undefined;
}

t.test('zones are evacuated and readmitted', async (t) => {
  t.match(translate('POST', '/Evacuations.Start/hall-a', ''), {
    call: { type: 'order-zone', zone: 'hall-a', kind: 'evacuate' },
  });
  t.match(translate('POST', '/Evacuations.Finish/hall%20b', ''), {
    call: { type: 'order-zone', zone: 'hall b', kind: 'readmit' },
  });
  t.equal(statusOf(translate('POST', '/Evacuations.Start/', '')), 400);
  t.equal(statusOf(translate('GET', '/Evacuations.Start/hall-a', '')), 404);
});

t.test('services declare the warm-up of their back ends', async (t) => {
  const { version, routes, limits } = CONFIG;
  const services = [
    { name: 'alpha', warmupS: 2, coldPerS: 12.5 },
    { name: 'beta', warmupS: null },
  ];
  const config = readConfigDocument(JSON.stringify({ version, routes, services, limits }));
  t.match(config._unsafeUnwrap().services, [
    { name: 'alpha', warmUpMs: 2_000, coldRequestsPerS: 12.5 },
    { name: 'beta', warmUpMs: 0, coldRequestsPerS: 0 },
  ]);
});

t.test(
  'priority and latency objective are read, and values of other types count as absent',
  async (t) => {
    const routeOf = (change: Changes) => {
      const [first] = CONFIG.routes;
      const document = { ...CONFIG, routes: [{ ...first, ...change }] };
      return readConfigDocument(JSON.stringify(document))._unsafeUnwrap().routes[0];
    };
    t.match(routeOf({ priority: 2, targetMs: 121 }), { priority: 2, latencyObjectiveMs: 121 });
    t.match(routeOf({ priority: 1e12 }), { priority: 65_535 });
    for (const value of [null, 'high', true, -1, [2], { value: 2 }]) {
      const route = routeOf({ priority: value, targetMs: value });
      t.match(route, { priority: undefined, latencyObjectiveMs: undefined }, JSON.stringify(value));
    }
    t.equal(routeOf({ priority: 1.5 })?.priority, undefined);
    t.equal(routeOf({ targetMs: 0 })?.latencyObjectiveMs, undefined);
  },
);

t.test(
  'requests of the types safe and download may be repeated, all others at most once',
  async (t) => {
    const kindOf = (type: unknown) => {
      const [first] = CONFIG.routes;
      const document = { ...CONFIG, routes: [{ ...first, type }] };
      return readConfigDocument(JSON.stringify(document))._unsafeUnwrap().routes[0]?.kind;
    };
    t.same(['safe', 'download'].map(kindOf), ['repeatable', 'repeatable']);
    t.same(
      ['unsafe', 'upload', 'other', undefined].map(kindOf),
      Array.from({ length: 4 }, () => 'at-most-once'),
    );
  },
);

t.test('a heartbeat is translated', async (t) => {
  const path = '/Backends.Heartbeat/i-7f3a91c2';
  const translated = translate('POST', path, JSON.stringify(HEARTBEAT));
  t.match(translated, {
    type: 'call',
    call: {
      type: 'heartbeat',
      isDraining: false,
      record: {
        id: 'i-7f3a91c2',
        instanceNumber: '000000007f3a91c2',
        address: { host: '10.128.0.9', port: 8_080 },
        sequence: 4,
      },
    },
  });
  const draining = translate('POST', path, JSON.stringify({ ...HEARTBEAT, state: 'draining' }));
  t.match(draining, { call: { isDraining: true } });
});

t.test('each start of a back end has its own ID', async (t) => {
  const path = '/Backends.Heartbeat/i-7f3a91c2';
  const born = 1_790_000_000_123;
  t.match(translate('POST', path, JSON.stringify({ ...HEARTBEAT, born })), {
    call: { record: { id: `i-7f3a91c2#${born}`, instanceNumber: '000000007f3a91c2' } },
  });
  t.match(translate('POST', '/Backends.Deregister/i-7f3a91c2', JSON.stringify({ born })), {
    call: { type: 'deregister', backendId: `i-7f3a91c2#${born}` },
  });
  const forged = '/Backends.Heartbeat/i-7f3a91c2%235';
  t.equal(refusalOf(translate('POST', forged, JSON.stringify(HEARTBEAT))), 'id');
});

t.test('malformed heartbeats are refused with the invalid field as reason', async (t) => {
  const wrong: Readonly<Record<string, readonly unknown[]>> = {
    service: ['', 5, null],
    address: ['here', '10.0.0.1', '10.0.0.1:0', 7, null],
    zone: ['', 5, null],
    version: [1, null],
    capacity: ['2', 0, -1, 1e300, null],
    state: ['frozen', 'Ready', 1, null],
    warmupLeftMs: ['0', -1, 1e300, null],
    callSeq: ['4', -1.5, -1, 2.5, 1e300, null],
    born: ['1790000000123', 1.5, -1, 1e300, null],
  };
  const path = '/Backends.Heartbeat/i-1';
  for (const [field, values] of Object.entries(wrong)) {
    for (const value of values) {
      const text = JSON.stringify({ ...HEARTBEAT, [field]: value });
      const translated = translate('POST', path, text);
      t.equal(statusOf(translated), 400, text);
      t.equal(refusalOf(translated), field, text);
    }
    const { [field]: removed, ...others } = HEARTBEAT as Readonly<Record<string, unknown>>;
    if (removed !== undefined) {
      t.equal(refusalOf(translate('POST', path, JSON.stringify(others))), field, `no ${field}`);
    }
  }
  for (const text of ['', '{', '[]', '5', '\u0000\ufffd', JSON.stringify(HEARTBEAT).slice(0, -3)]) {
    t.equal(refusalOf(translate('POST', path, text)), 'unreadable', text);
  }
  t.equal(refusalOf(translate('POST', '/Backends.Deregister/i-1', '{"born":"x"}')), 'born');
  t.equal(refusalOf(translate('POST', '/Backends.Deregister/i-1', '[')), 'unreadable');
});

t.test(
  'a long name is shortened to the same one in heartbeats, orders and configurations',
  async (t) => {
    const shortNames = new Set<string>();
    for (const length of [100, 101, 208, 253, 5_000]) {
      const name = 'x'.repeat(length);
      const beat = JSON.stringify({ ...HEARTBEAT, service: name, zone: name });
      const heartbeat = translate('POST', `/Backends.Heartbeat/${name}`, beat);
      const order = translate('POST', `/Evacuations.Start/${name}`, '');
      const services = [{ name }];
      const [route] = CONFIG.routes;
      const routes = [{ ...route, trafficSplit: [{ service: name, weight: 1 }] }];
      const config = readStoredDocument(JSON.stringify({ ...CONFIG, routes, services }));
      const shortName = config._unsafeUnwrap().services[0]?.name ?? '';
      t.ok(shortName.length > 0 && shortName.length <= 100, `${length}: ${shortName}`);
      t.equal(config._unsafeUnwrap().routes[0]?.targets[0]?.service, shortName);
      t.match(heartbeat, {
        call: { record: { id: shortName, service: shortName, zone: shortName } },
      });
      t.match(order, { call: { type: 'order-zone', zone: shortName } });
      shortNames.add(shortName);
    }
    t.equal(shortNames.size, 5, 'different names stay different');
  },
);

t.test('a heartbeat has fields within their bounds, or is refused with a reason', async (t) => {
  const fields = Object.keys({ ...HEARTBEAT, born: 0 });
  const anything = fc.oneof(fc.string(), fc.double(), fc.constant(null), fc.json(), fc.boolean());
  const changes = fc.dictionary(fc.constantFrom(...fields), fc.option(anything));
  fc.assert(
    fc.property(changes, (changed) => {
      const text = JSON.stringify({ ...HEARTBEAT, ...changed });
      const translated = translate('POST', '/Backends.Heartbeat/i-1', text);
      if (translated.type === 'reply') {
        return translated.reply.status === 400 && refusalOf(translated) !== undefined;
      }
      const { call } = translated;
      if (call.type !== 'heartbeat') {
        return false;
      }
      const { capacity, warmUpLeftMs, sequence } = call.record;
      const isBounded = capacity > 0 && capacity <= 1e5 && warmUpLeftMs >= 0 && warmUpLeftMs < 1e9;
      return isBounded && Number.isSafeInteger(sequence) && sequence >= 0;
    }),
    { seed: 2, numRuns: 2_000 },
  );
  t.pass();
});

t.test('a deregistration and a read are translated', async (t) => {
  t.match(translate('POST', '/Backends.Deregister/i-1', ''), {
    call: { type: 'deregister', backendId: 'i-1' },
  });
  t.match(translate('GET', '/Config.Get', ''), { call: { type: 'read-config' } });
});

t.test('a configuration keeps its original text', async (t) => {
  const text = JSON.stringify(CONFIG, undefined, 1);
  t.match(translate('POST', '/Config.Put', text), {
    call: { type: 'declare-config', document: { version: 7, text } },
  });
});

t.test('invalid configurations are refused, even with an old version', async (t) => {
  const whole = JSON.stringify(CONFIG);
  t.equal(statusOf(translate('POST', '/Config.Put', whole.slice(0, -9))), 400, 'cut short');
  t.equal(statusOf(putConfig({}, { service: 'gamma', trafficSplit: undefined })), 400, 'service');
  t.equal(statusOf(putConfig({}, { host: '198.18.0.2' })), 400, 'duplicate address');
  t.equal(statusOf(putConfig({}, { timeoutMs: 0 })), 400, 'no time-out');
  const weightless = [{ service: 'alpha', weight: 0 }];
  t.equal(statusOf(putConfig({}, { trafficSplit: weightless })), 400, 'no weight');
  t.equal(statusOf(putConfig({ version: 0 })), 400, 'no version');
  t.equal(statusOf(putConfig({ version: 1 }, { timeoutMs: 0 })), 400, 'old and invalid');
  t.equal(statusOf(putConfig({})), 0, 'the valid one is accepted');
});

t.test('unknown paths and malformed heartbeats are refused', async (t) => {
  t.equal(statusOf(translate('GET', '/', '')), 404);
  t.equal(statusOf(translate('POST', '/Backends.Heartbeat/', JSON.stringify(HEARTBEAT))), 400);
  t.equal(statusOf(translate('POST', '/Backends.Heartbeat/%E0', JSON.stringify(HEARTBEAT))), 400);
  t.equal(statusOf(translate('POST', '/Backends.Heartbeat/i-1', '{}')), 400);
});

t.test('no call makes the translation throw', async (t) => {
  const path = fc.constantFrom(
    '/Config.Put',
    '/Config.Get',
    '/Backends.Heartbeat/i-1',
    '/Backends.Deregister/',
  );
  const body = fc.oneof(fc.string(), fc.json());
  fc.assert(
    fc.property(fc.constantFrom('GET', 'POST'), path, body, (method, url, text) => {
      const translated = translate(method, url, text);
      return translated.type === 'call' || translated.reply.status >= 400;
    }),
    { seed: 1, numRuns: 1_000 },
  );
  t.pass();
});

t.test('the instance number consists of the hexadecimal digits of the ID', async (t) => {
  t.equal(instanceNumberOf('i-7f3a91c2'), '000000007f3a91c2');
  t.equal(instanceNumberOf('i-8d5f354dd3'), '0000008d5f354dd3');
});
