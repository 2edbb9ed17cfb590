/** @file Guards against invalid messages that pass validation or make it throw. */
import fc from 'fast-check';
import t from 'tap';
import { unpackFeed } from '../../../src/registered/group/wire/feed-codec.js';
import {
  parseBalancerMessage,
  parseControlInbound,
} from '../../../src/registered/group/message-schemas.js';

const SUBSCRIBE = {
  type: 'subscribe',
  balancer: { name: 'b', zone: 'z', peerAddress: { host: '127.0.0.1', port: 1 } },
  configVersion: 0,
};
const FEED = { type: 'feed', isCurrent: true, isComplete: true, isCounted: false };
const REPORT = { type: 'load-report', loads: [1, 0] };
const OPEN_PLACED = { type: 'open-placed', key: 'a>b', token: 1 };

t.test('valid messages are accepted', async (t) => {
  t.same(parseControlInbound(SUBSCRIBE), SUBSCRIBE);
  t.same(unpackFeed(FEED), FEED);
  t.same(parseControlInbound(REPORT), REPORT);
  t.same(parseBalancerMessage(OPEN_PLACED), OPEN_PLACED);
});

t.test('a message with an invalid field is refused', async (t) => {
  const cases = [
    parseControlInbound({ ...SUBSCRIBE, configVersion: -1 }),
    parseControlInbound({ ...SUBSCRIBE, balancer: undefined }),
    unpackFeed({ ...FEED, isCurrent: 'yes' }),
    unpackFeed({ ...FEED, records: [{}] }),
    unpackFeed({ ...FEED, loads: [1] }),
    unpackFeed({ ...FEED, judgements: { ids: ['b'], kinds: [7], silentMs: [0] } }),
    unpackFeed({ ...FEED, judgements: { ids: ['b', 'c'], kinds: [0], silentMs: [0] } }),
    parseControlInbound({ ...REPORT, loads: [1.5, 0] }),
    parseControlInbound({ ...REPORT, loads: [1] }),
    parseControlInbound({ ...REPORT, loads: [1, -1] }),
    parseBalancerMessage({ ...OPEN_PLACED, token: 1.5 }),
    parseBalancerMessage({ ...OPEN_PLACED, key: 7 }),
  ];
  t.same(new Set(cases), new Set([undefined]));
});

t.test('arbitrary values are refused without an exception', async (t) => {
  const types = fc.constantFrom(
    'consensus',
    'announce',
    'heartbeats',
    'forward',
    'feed',
    'subscribe',
    'load-sums',
    'load-report',
  );
  const values = fc.oneof(
    fc.anything(),
    fc.tuple(types, fc.object()).map(([type, fields]) => ({ ...fields, type })),
  );
  fc.assert(
    fc.property(values, (value) =>
      [parseControlInbound(value), unpackFeed(value), parseBalancerMessage(value)].every(
        (parsed) => parsed === undefined,
      ),
    ),
    { numRuns: 3_000, seed: 1 },
  );
  t.pass();
});
