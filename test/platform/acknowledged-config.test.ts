/**
 * @file Guards against calls that are acknowledged although balancers can't take what they say: each one would drop its feed, and
 * follow no further change, until it is restarted. A control machine and a balancer run over sockets.
 */
import { Buffer } from 'node:buffer';
import { setTimeout as sleep } from 'node:timers/promises';
import fc from 'fast-check';
import t, { type Test } from 'tap';
import { readConfigDocument, readStoredDocument } from '../../platform/config-document.js';
import { translateCall } from '../../platform/control-api.js';
import { platformPacketCodec } from '../../platform/packet-codec.js';
import { packHost } from '../../src/shared/common/address.js';
import { defaultSwitches } from '../../src/registered/decisions/mechanism-switches.js';
import { IngressDaemon } from '../../src/registered/daemon/ingress-daemon.js';
import { fullUpdate, nextPartOf } from '../../src/registered/declared/config-update.js';
import { recordSchema } from '../../src/registered/group/entry-schemas.js';
import { packFeed, unpackFeed } from '../../src/registered/group/wire/feed-codec.js';
import { HEARTBEAT, startControl, freePort, TIMING, type Control } from './control-daemon.js';

const HOST = '198.18.0.1';
const PORT = 8_443;
const APPLY_TIMEOUT_MS = 3_000;
const POLL_INTERVAL_MS = 20;
const FLOWS_PER_SERVICE = 5;
const LONG_NAME = `reports.${'accounting-of-the-cooperatives.'.repeat(6)}cr-central.svc`;

type Changes = Readonly<Record<string, unknown>>;

function documentOf(
  version: number,
  services: readonly unknown[],
  route: Changes,
  rest: Changes = {},
) {
  const base = { name: 'r-1', host: HOST, pathPrefix: `/${PORT}/`, type: 'safe', timeoutMs: 800 };
  return JSON.stringify({ version, routes: [{ ...base, ...route }], services, ...rest });
}

async function startBalancer(t: Test, control: Control): Promise<IngressDaemon> {
  const addressOf = (port: number) => ({ host: '127.0.0.1', port });
  const packetPort = await freePort();
  const daemon = await IngressDaemon.start(
    {
      ingress: {
        name: 'balancer-1',
        zone: 'zone-a',
        heartbeatIntervalMs: 200,
        flowLifetimeMs: 60_000,
        feed: TIMING.feed,
        maxCountedFlows: 1_000,
        switches: defaultSwitches,
      },
      timing: TIMING,
      packetAddress: addressOf(packetPort),
      peerAddress: addressOf(await freePort()),
      controlSeeds: [control.linkAddress],
      linkBytesPerMs: undefined,
    },
    platformPacketCodec(packetPort),
  );
  t.teardown(() => daemon.stop(0));
  return daemon;
}

async function waitFor(isFulfilled: () => boolean): Promise<boolean> {
  const giveUpAtMs = performance.now() + APPLY_TIMEOUT_MS;
  while (!isFulfilled() && performance.now() < giveUpAtMs) {
    await sleep(POLL_INTERVAL_MS);
  }
  return isFulfilled();
}

/** Configurations that the list of what is invalid leaves valid, with the services that get flows. */
const validConfigs: readonly (readonly [string, readonly string[], (version: number) => string])[] =
  [
    [
      'a long service name',
      [LONG_NAME],
      (version) => documentOf(version, [{ name: LONG_NAME }], { service: LONG_NAME }),
    ],
    [
      'two long names that differ at the end',
      ['x'.repeat(5_000) + 'a', 'x'.repeat(5_000) + 'b'],
      (version) => {
        const names = ['a', 'b'].map((end) => 'x'.repeat(5_000) + end);
        const trafficSplit = names.map((service) => ({ service, weight: 1 }));
        return documentOf(
          version,
          names.map((name) => ({ name })),
          { trafficSplit },
        );
      },
    ],
    [
      'names that no text encoding can hold',
      ['\ud800', '\ud801'],
      (version) => {
        const names = ['\ud800', '\ud801'];
        const trafficSplit = names.map((service) => ({ service, weight: 1 }));
        return documentOf(
          version,
          names.map((name) => ({ name })),
          { trafficSplit },
        );
      },
    ],
    ...[-1, 0, -1e300, 1e308].map(
      (idleTimeoutMs) =>
        [
          `an idle timeout of ${idleTimeoutMs} ms`,
          ['alpha'],
          (version: number) =>
            documentOf(
              version,
              [{ name: 'alpha' }],
              { service: 'alpha' },
              { limits: { idleTimeoutMs } },
            ),
        ] as const,
    ),
    [
      'weights whose sum is too large',
      ['alpha', 'beta'],
      (version) => {
        const trafficSplit = ['alpha', 'beta'].map((service) => ({ service, weight: 1e308 }));
        return documentOf(version, [{ name: 'alpha' }, { name: 'beta' }], { trafficSplit });
      },
    ],
    [
      'a service that is listed twice',
      ['alpha'],
      (version) =>
        documentOf(version, [{ name: 'alpha' }, { name: 'alpha' }], { service: 'alpha' }),
    ],
    [
      'negative times and rates',
      ['alpha'],
      (version) =>
        documentOf(version, [{ name: 'alpha', warmupS: -1, coldPerS: -1 }], {
          service: 'alpha',
          timeoutMs: -1,
          targetMs: -1,
          priority: -1,
        }),
    ],
    [
      'fields that are null',
      ['alpha'],
      (version) =>
        documentOf(
          version,
          [{ name: 'alpha', warmupS: null, coldPerS: null }],
          { service: 'alpha', trafficSplit: null, type: null, priority: null, targetMs: null },
          { limits: null },
        ),
    ],
    [
      'a very long slow start',
      ['alpha'],
      (version) =>
        documentOf(version, [{ name: 'alpha', warmupS: 1e300, coldPerS: 1e308 }], {
          service: 'alpha',
        }),
    ],
  ];

t.test(
  'what is acknowledged takes effect at a balancer, and so does all that follows',
  async (t) => {
    const control = await startControl(t);
    const balancer = await startBalancer(t, control);
    const { routes, backends } = balancer.process.state;
    const port = (index: number) => 9_100 + index;
    let version = 0;
    let started = 0;
    for (const [name, services, configOf] of validConfigs) {
      version += 3;
      const text = configOf(version);
      t.equal(await control.post('/Config.Put', text), 200, `${name}: acknowledged`);
      t.equal(await control.get('/Config.Get'), text, `${name}: read back`);
      const isInForce = await waitFor(() => routes.config?.version === version);
      t.ok(isInForce, `${name}: in force, version ${routes.config?.version}`);
      const nextService = () => routes.nextService(Number(packHost(HOST)), PORT) ?? '';
      const flows = services.flatMap(() => Array.from({ length: FLOWS_PER_SERVICE }, nextService));
      const reached = new Set(flows);
      t.equal(reached.size, services.length, `${name}: each service is reached`);
      for (const service of reached) {
        const count = flows.filter((other) => other === service).length;
        t.equal(count, FLOWS_PER_SERVICE, `${name}: an equal share`);
      }
      for (const service of services) {
        started += 1;
        const id = `i-${started}`;
        const beat = { ...HEARTBEAT, service, address: `127.0.0.1:${port(started)}`, callSeq: 1 };
        t.equal(
          await control.post(`/Backends.Heartbeat/${id}`, JSON.stringify(beat)),
          200,
          `${name}: a back end of it registers`,
        );
        const hasBackend = () =>
          [...reached].some((next) =>
            backends.activeOf(next).some(({ start }) => start.backend === id),
          );
        t.ok(await waitFor(hasBackend), `${name}: flows reach it`);
      }
    }
    const leaving = {
      ...HEARTBEAT,
      address: `127.0.0.1:${port(1)}`,
      state: 'draining',
      callSeq: 2,
    };
    t.equal(await control.post('/Backends.Heartbeat/i-1', JSON.stringify(leaving)), 200);
    const hasLeft = () =>
      [...backends.all()].some(
        ({ start, registration }) =>
          start.backend === 'i-1' && registration.departure === 'draining',
      );
    t.ok(await waitFor(hasLeft), 'a departure after all of this is followed');
  },
);

t.test('what no balancer can hold is refused, and changes nothing', async (t) => {
  const control = await startControl(t);
  const balancer = await startBalancer(t, control);
  const plain = (version: number) => documentOf(version, [{ name: 'alpha' }], { service: 'alpha' });
  const manyTargets = Array.from({ length: 50_001 }, () => ({ service: 'alpha', weight: 1 }));
  const alpha = [{ name: 'alpha' }];
  const withBytes = Buffer.from(plain(9).replace('r-1', 'r-?'));
  withBytes[withBytes.indexOf('?')] = 0xff;
  const refused: readonly (readonly [string, string | Uint8Array])[] = [
    ['too many targets', documentOf(9, alpha, { trafficSplit: manyTargets })],
    [
      'an endless slow start',
      documentOf(9, [{ name: 'alpha', warmupS: 1e306 }], { service: 'alpha' }),
    ],
    ['bytes that are no text', withBytes],
    ['a document beyond the limit', plain(9) + ' '.repeat(4 * 1024 * 1024)],
    [
      'an unknown service beside a split',
      documentOf(9, alpha, { service: 'gamma', trafficSplit: [{ service: 'alpha', weight: 1 }] }),
    ],
  ];
  t.equal(await control.post('/Config.Put', plain(3)), 200);
  for (const [name, body] of refused) {
    t.equal(await control.post('/Config.Put', body), 400, name);
  }
  const scoped = { ...HEARTBEAT, address: `[fe80::1%${'z'.repeat(300)}]:80` };
  t.equal(
    await control.post('/Backends.Heartbeat/i-1', JSON.stringify(scoped)),
    400,
    'a long address',
  );
  t.equal(await control.get('/Config.Get'), plain(3));
  t.equal(await control.post('/Config.Put', plain(12)), 200);
  const { routes } = balancer.process.state;
  t.ok(await waitFor(() => routes.config?.version === 12), 'the next valid one takes effect');
});

const text = fc.oneof(
  fc.string(),
  fc.string({ minLength: 90, maxLength: 400 }),
  fc.string({ unit: 'binary', maxLength: 300 }),
  fc.constantFrom('\ud800', '', 'alpha'),
);
const number = fc.oneof(fc.double(), fc.integer(), fc.constantFrom(-1, 0, 1e300, 1e308, null));
const amount = fc.oneof(
  { weight: 9, arbitrary: fc.double({ min: 0, noNaN: true, noDefaultInfinity: true }) },
  { weight: 9, arbitrary: fc.nat() },
  { weight: 1, arbitrary: number },
);

t.test('whatever is acknowledged matches the schemas of receivers', async (t) => {
  const services = fc.array(fc.record({ name: text, warmupS: amount, coldPerS: amount }), {
    minLength: 1,
    maxLength: 3,
  });
  const counts = { acknowledged: 0, refused: 0 };
  fc.assert(
    fc.property(
      services,
      fc.array(amount, { maxLength: 4 }),
      number,
      number,
      (listed, weights, idle, target) => {
        const trafficSplit = weights.map((weight, index) => ({
          service: listed[index % listed.length]?.name,
          weight,
        }));
        const route = {
          service: listed[0]?.name,
          trafficSplit,
          targetMs: target,
          priority: target,
        };
        const document = documentOf(7, listed, route, { limits: { idleTimeoutMs: idle } });
        if (readConfigDocument(document).isErr()) {
          counts.refused += 1;
          return true;
        }
        counts.acknowledged += 1;
        const update = fullUpdate(readStoredDocument(document)._unsafeUnwrap());
        const flags = { isCurrent: true, isComplete: true, isCounted: true };
        const message = { type: 'feed', ...flags, config: nextPartOf(update, 0) } as const;
        const omitted: unknown[] = [];
        const received = unpackFeed(packFeed(message), (entry) => omitted.push(entry));
        return received !== undefined && omitted.length === 0;
      },
    ),
    { seed: 5, numRuns: 2_000 },
  );
  const fields = fc.record({ service: text, zone: text, id: text });
  fc.assert(
    fc.property(fields, ({ service, zone, id }) => {
      const body = JSON.stringify({ ...HEARTBEAT, service, zone });
      const path = `/Backends.Heartbeat/${encodeURIComponent(id.replace(/\p{Surrogate}/gu, ''))}`;
      const translated = translateCall({ method: 'POST', path, body, bearerToken: '' });
      if (translated.type === 'reply') {
        return translated.reply.status === 400;
      }
      return (
        translated.call.type === 'heartbeat' &&
        recordSchema.safeParse(translated.call.record).success
      );
    }),
    { seed: 5, numRuns: 2_000 },
  );
  t.comment(`${counts.acknowledged} configurations acknowledged, ${counts.refused} refused`);
  t.ok(counts.acknowledged > 100 && counts.refused > 100);
});
