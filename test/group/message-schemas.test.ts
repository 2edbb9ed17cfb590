/** @file Whatever comes in on an internal port is one of our messages or is refused; nothing throws. */
import fc from 'fast-check';
import t from 'tap';
import {
  parseBalancerMessage,
  parseControlInbound,
  parseFeed,
} from '../../src/group/message-schemas.js';

const SUBSCRIBE = {
  type: 'subscribe',
  balancer: { name: 'b', zone: 'z', peerAddress: { host: '127.0.0.1', port: 1 } },
  configVersion: 0,
};
const FEED = { type: 'feed', isCurrent: true };
const REPORT = { type: 'load-report', name: 'b', loads: [{ token: 1, busy: 0, flows: 1 }] };

t.test('good messages are taken', async (t) => {
  t.same(parseControlInbound(SUBSCRIBE), SUBSCRIBE);
  t.same(parseFeed(FEED), FEED);
  t.same(parseBalancerMessage(REPORT), REPORT);
});

t.test('a message with a field of another form is refused', async (t) => {
  const cases = [
    parseControlInbound({ ...SUBSCRIBE, configVersion: -1 }),
    parseControlInbound({ ...SUBSCRIBE, balancer: undefined }),
    parseFeed({ ...FEED, isCurrent: 'yes' }),
    parseFeed({ ...FEED, records: [{}] }),
    parseBalancerMessage({ ...REPORT, loads: [{ token: 1.5, busy: 0, flows: 0 }] }),
    parseBalancerMessage({ ...REPORT, name: 7 }),
  ];
  t.same(new Set(cases), new Set([undefined]));
});

t.test('no value makes a check throw or passes for a message', async (t) => {
  const types = fc.constantFrom(
    'consensus',
    'announce',
    'heartbeats',
    'forward',
    'feed',
    'subscribe',
  );
  const values = fc.oneof(
    fc.anything(),
    fc.tuple(types, fc.object()).map(([type, fields]) => ({ ...fields, type })),
  );
  fc.assert(
    fc.property(values, (value) =>
      [parseControlInbound(value), parseFeed(value), parseBalancerMessage(value)].every(
        (parsed) => parsed === undefined,
      ),
    ),
    { numRuns: 3_000, seed: 1 },
  );
  t.pass();
});
