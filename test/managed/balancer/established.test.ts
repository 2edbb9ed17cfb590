/** @file Routing of packets of established flows; invalid ones must be counted and not forwarded. */
import fc from 'fast-check';
import t from 'tap';
import { decodeEnvelope, encodeEnvelope } from '../../../src/managed/flow/envelope.js';
import { errorKinds } from '../../../src/shared/common/error-kinds.js';
import {
  encodeLongHeader,
  encodeShortHeader,
  parseLongHeader,
} from '../../../src/managed/flow/header.js';
import { mintToken, prepareTokenKey } from '../../../src/managed/flow/token.js';
import { BalancerWorld, FABRIC, makeKey, makeService } from './balancer-world.js';

const authd = makeService(1);
const boardApi = makeService(2);
const body = Buffer.from('opaque');

function tokenOf(backendId: number, serviceId: number): Buffer {
  const fields = { keyId: 1, serviceId, backendId, incarnation: 7, flowId: Buffer.alloc(8, 9) };
  return mintToken(fields, prepareTokenKey(makeKey(1, 'current').secret));
}

t.test('a packet is forwarded to the back end in its token', async (t) => {
  const world = new BalancerWorld([authd, boardApi]);
  const [sent] = world.established(authd, { backendId: 102 });
  t.match(sent, { via: 'backends', to: { host: '10.2.1.2', port: 1 } });
  t.equal(world.state.forwardedPackets, 1);
});

t.test('invalid packets are counted by kind and not forwarded', async (t) => {
  const world = new BalancerWorld([authd, boardApi]);
  const token = tokenOf(100, 1);
  const forged = Buffer.from(token);
  forged[8] = (forged[8] ?? 0) ^ 1;
  const cases = [
    ['wrong-service', () => world.established(boardApi, { serviceId: 1, backendId: 100 })],
    ['wrong-service', () => world.established(authd, { serviceId: 1, backendId: 200 })],
    ['wrong-service', () => world.established(authd, { serviceId: 2, backendId: 100 })],
    ['unknown-backend', () => world.established(authd, { backendId: 999 })],
    ['unknown-service', () => world.established(makeService(3), { serviceId: 1, backendId: 100 })],
    ['unknown-key', () => world.established(authd, {}, makeKey(2, 'previous'))],
    ['forged-token', () => world.fromCaller(authd, encodeShortHeader(forged, body))],
    ['malformed-datagram', () => world.fromCaller(authd, Buffer.of(0x40, ...token.subarray(1)))],
    ['malformed-datagram', () => world.fromCaller(authd, new Uint8Array(0))],
  ] as const;
  for (const [kind, send] of cases) {
    const previousCount = world.count(kind);
    t.strictSame(send(), [], kind);
    t.equal(world.count(kind), previousCount + 1, kind);
  }
  t.equal(world.state.forwardedPackets, 0);
});

t.test(
  'a token with another incarnation is forwarded; only the back end checks the incarnation',
  async (t) => {
    const world = new BalancerWorld([authd]);
    const [sent] = world.established(authd, { incarnation: 8 });
    t.match(sent, { to: { host: '10.2.1.0' } });
  },
);

t.test('tokens stay valid during a key rotation until their key is removed', async (t) => {
  const world = new BalancerWorld([authd]);
  const isForwarded = (id: number): boolean =>
    world.established(authd, {}, makeKey(id, 'current')).length === 1;
  const mintingKeyId = (): number | undefined => {
    const packet = decodeEnvelope(world.open(authd)[0]?.datagram ?? body)._unsafeUnwrap().packet;
    return parseLongHeader(packet)._unsafeUnwrap().destinationId[0];
  };
  t.strictSame([isForwarded(1), isForwarded(2), mintingKeyId()], [true, false, 1]);
  world.change({ type: 'key-set', key: makeKey(2, 'next') });
  t.strictSame(
    [isForwarded(1), isForwarded(2), mintingKeyId()],
    [true, true, 1],
    'accepted, not used for minting',
  );
  world.change(
    { type: 'key-set', key: makeKey(1, 'previous') },
    { type: 'key-set', key: makeKey(2, 'current') },
  );
  t.strictSame(
    [isForwarded(1), isForwarded(2), mintingKeyId()],
    [true, true, 2],
    'used for minting',
  );
  world.change({ type: 'key-removed', keyId: 1 });
  t.strictSame(
    [isForwarded(1), isForwarded(2), mintingKeyId()],
    [false, true, 2],
    'the old key is removed',
  );
  t.equal(world.count('unknown-key'), 2);
  t.equal(world.count('forged-token'), 0);
});

/** A valid datagram with some bytes changed, truncated or appended. */
function mutationsOf(good: Uint8Array): fc.Arbitrary<Uint8Array> {
  const changes = fc.array(fc.tuple(fc.nat(good.length - 1), fc.nat(255)), { maxLength: 3 });
  return fc
    .tuple(changes, fc.nat(good.length), fc.uint8Array({ maxLength: 4 }))
    .map(([changed, cut, added]) => {
      const bytes = Uint8Array.from(good);
      changed.forEach(([at, value]) => (bytes[at] = value));
      return cut % 3 === 0 ? bytes.subarray(0, cut) : Uint8Array.from([...bytes, ...added]);
    });
}

t.test(
  'any datagram is forwarded to a valid target, answered or counted by kind, without an exception',
  async (t) => {
    const world = new BalancerWorld([authd, boardApi]);
    const envelope = { client: FABRIC, service: authd.address };
    const short = encodeShortHeader(tokenOf(100, 1), body);
    const long = encodeLongHeader(tokenOf(100, 1), Buffer.alloc(8, 1), body);
    const [open] = world.open(authd);
    const datagrams = fc.oneof(
      fc.uint8Array({ maxLength: 100 }),
      mutationsOf(encodeEnvelope({ ...envelope, packet: short })),
      mutationsOf(encodeEnvelope({ ...envelope, packet: long })),
      mutationsOf(open?.datagram ?? body),
    );
    const total = (): number => {
      const counts = errorKinds.map((kind) => world.count(kind));
      const { pendingOpens, limits } = world.state;
      const others = pendingOpens.size + limits.repeatedOpens + limits.lateAnswers;
      return counts.reduce((sum, count) => sum + count, others);
    };
    const types = fc.constantFrom('client-datagram' as const, 'backend-datagram' as const);
    fc.assert(
      fc.property(types, datagrams, (type, datagram) => {
        const previousTotal = total();
        const effects = world.step({ type, datagram, replyTo: FABRIC });
        const counted = total() > previousTotal;
        const allowedHosts = ['10.2.1.', '10.2.2.', FABRIC.host];
        const isExpected = effects.every(
          (effect) =>
            effect.type === 'send' && allowedHosts.some((host) => effect.to.host.startsWith(host)),
        );
        return isExpected && (effects.length > 0 || counted);
      }),
      { numRuns: 5_000, seed: 1 },
    );
    t.ok(world.count('malformed-datagram') > 1_000);
    t.ok(world.count('forged-token') > 10);
    t.ok(world.state.forwardedPackets > 10);
  },
);
