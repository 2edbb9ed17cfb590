/** @file Feeds travel in columns: what comes out is what went in, in far fewer bytes. */
import fc from 'fast-check';
import { Packr } from 'msgpackr';
import t from 'tap';
import { packFeed, unpackFeed } from '../../../src/registered/group/wire/feed-codec.js';
import type { AgedRecord, FeedMessage } from '../../../src/registered/group/group-messages.js';

const packr = new Packr({ useRecords: false });
const FLAGS = { type: 'feed', isCurrent: true, isComplete: false, isCounted: true } as const;

function recordOf(number: number): AgedRecord {
  const instanceNumber = (number * 7_919).toString(16).padStart(16, '0');
  return {
    record: {
      id: `i-${instanceNumber.slice(-8)}`,
      instanceNumber,
      service: number % 5 === 0 ? 'settled' : 'authd',
      address: { host: `10.128.${number >> 8}.${number & 255}`, port: 8_080 },
      zone: `zone-${number % 5}`,
      capacity: 2,
      warmUpLeftMs: 0,
      sequence: 40 + number,
    },
    ageMs: number % 1_200,
  };
}

const routeChanges = Array.from({ length: 1_766 }, (_, at) => ({
  host: `198.18.${at >> 8}.${at & 255}`,
  port: 443 + (at % 3),
  targets: [
    { service: 'authd', weight: 90 },
    { service: 'settled', weight: at % 2 },
  ],
}));

const whole: FeedMessage = {
  ...FLAGS,
  transfer: 'begins',
  records: Array.from({ length: 205 }, (_, at) => recordOf(at + 1)),
  judgements: [{ backendId: 'i-1', liveness: 'suspect', silentMs: 3_100 }],
  departures: [{ backendId: 'i-2', kind: 'draining' }],
  balancers: Array.from({ length: 195 }, (_, at) => ({
    name: `front-hall-${at % 5}-${at}`,
    zone: `zone-${at % 5}`,
    peerAddress: { host: `10.1.0.${at}`, port: 7_720 },
  })),
  lostBalancers: ['front-gone'],
  controls: [
    { linkAddress: { host: '10.1.0.1', port: 7_720 }, zone: 'zone-1' },
    { linkAddress: { host: '10.1.0.2', port: 7_720 } },
  ],
  config: {
    version: 12,
    baseVersion: 0,
    idleTimeoutMs: 15_000,
    warmUps: [{ service: 'alpha', warmUpMs: 2_000, coldRequestsPerS: 7.5 }],
    changes: routeChanges,
    firstChange: 0,
    changeCount: 1_766,
  },
  zones: [
    { zone: 'zone-1', isEvacuated: true, orders: 3 },
    { zone: 'zone-2', isEvacuated: false, orders: 2, readmittedAgoMs: 1_200 },
  ],
  loads: [7, 1, 9, 2],
  signals: [7, 1, 25, 310, 0, 9, 0, 3, 40, 12],
};

function travel(message: FeedMessage): FeedMessage | undefined {
  return unpackFeed(packr.unpack(packr.pack(packFeed(message))));
}

t.test('a feed comes out as it went in', async (t) => {
  t.same(travel(whole), whole);
  t.same(travel({ ...FLAGS, isComplete: true }), { ...FLAGS, isComplete: true });
  const drop = { host: '198.18.0.1', port: 443, targets: undefined };
  const { config } = whole;
  const dropping: FeedMessage = {
    ...FLAGS,
    ...(config && { config: { ...config, changes: [drop] } }),
  };
  t.same(travel(dropping), dropping);
});

t.test('a whole state takes a sixth of its named fields', async (t) => {
  const named = packr.pack(whole).length;
  const packed = packr.pack(packFeed(whole)).length;
  t.comment(`${named} bytes named, ${packed} packed`);
  t.ok(packed * 6 < named, `${packed} of ${named}`);
  const bytesOf = (message: FeedMessage) => packr.pack(packFeed(message)).length;
  const { config, ...others } = whole;
  const perRoute = (bytesOf({ ...FLAGS, ...(config && { config }) }) - bytesOf(FLAGS)) / 1_766;
  t.comment(`${perRoute.toFixed(1)} bytes a route, ${bytesOf(others)} bytes of all else`);
  t.ok(perRoute < 12, `${perRoute} bytes a route`);
});

t.test('columns of unlike length, or that name what is not there, are refused', async (t) => {
  const packed = packFeed(whole);
  const { records, config, balancers } = packed;
  const broken = [
    { ...packed, records: { ...records, ages: [] } },
    { ...packed, records: { ...records, services: records?.services.map(() => 99) } },
    { ...packed, records: { ...records, instances: Buffer.alloc(8) } },
    { ...packed, config: { ...config, listOf: [] } },
    { ...packed, config: { ...config, listOf: config?.listOf.map(() => 77) } },
    { ...packed, balancers: { ...balancers, zones: [] } },
    { ...packed, transfer: 9 },
    { ...packed, isComplete: undefined },
  ];
  t.same(
    broken.map((value) => unpackFeed(value)),
    broken.map(() => undefined),
  );
});

t.test('no value makes it throw', async (t) => {
  const packed = packFeed(whole);
  const keys = Object.keys(packed);
  const values = fc
    .tuple(fc.constantFrom(...keys), fc.anything())
    .map(([key, value]) => ({ ...packed, [key]: value }));
  fc.assert(
    fc.property(fc.oneof(values, fc.anything()), (value) => {
      unpackFeed(value);
      return true;
    }),
    { seed: 3, numRuns: 300 },
  );
  t.pass();
});
