/** @file Guards against malformed input that is accepted as a packet, and against changes other than to the token in transit. */
import fc from 'fast-check';
import { Packr } from 'msgpackr';
import t from 'tap';
import {
  decodeForBackend,
  decodePacket,
  encodePacket,
  isIntact,
  sealPacket,
  tokenPacketCodec,
} from '../../../src/registered/ingress/token-packet.js';

const packr = new Packr({ useRecords: false });
const PACKET = sealPacket({
  kind: 'open',
  from: { host: '100.64.0.7', port: 40_001 },
  to: { host: '198.18.0.1', port: 443 },
  token: 0,
  copyNumber: 1,
  acceptNumber: 0,
  requestId: 9,
  sequence: 5,
  acknowledged: 0,
  dataLength: 0,
});
const INSTANCE = Buffer.from('00000000000000a1', 'hex');

t.test('a packet is decoded into its view', async (t) => {
  t.match(tokenPacketCodec.read(encodePacket(PACKET)), {
    sourceHost: 0x64400007,
    sourcePort: 40_001,
    destinationHost: 0xc6120001,
    destinationPort: 443,
    isOpen: true,
    copyNumber: 1,
  });
});

t.test('only the token changes on the way to a back end', async (t) => {
  const forBackend = decodeForBackend(
    tokenPacketCodec.toBackend(encodePacket(PACKET), INSTANCE, 77),
  );
  t.same(forBackend, { instance: '00000000000000a1', packet: { ...PACKET, token: 77 } });
  t.ok(forBackend !== undefined && isIntact(forBackend.packet));
});

t.test('a reset is addressed to the client', async (t) => {
  const view = tokenPacketCodec.read(encodePacket(PACKET));
  const reset = view === undefined ? undefined : decodePacket(tokenPacketCodec.resetFor(view));
  t.match(reset, { kind: 'reset', from: PACKET.to, to: PACKET.from });
  t.same(view === undefined ? undefined : tokenPacketCodec.clientAddress(view), PACKET.from);
});

t.test('malformed bytes and values are rejected', async (t) => {
  const values = fc.oneof(
    fc.uint8Array({ maxLength: 300 }),
    fc.jsonValue().map((value) => packr.pack(value)),
    fc
      .tuple(fc.constantFrom(...Object.keys(PACKET)), fc.constantFrom(null, 'x', -1.5, {}, []))
      .map(([field, value]) => packr.pack({ ...PACKET, [field]: value })),
  );
  fc.assert(
    fc.property(values, (bytes) => {
      return tokenPacketCodec.read(bytes) === undefined && decodeForBackend(bytes) === undefined;
    }),
    { numRuns: 5_000, seed: 1 },
  );
  t.pass();
});
