/** @file The packet codec matches known packets and must not throw on arbitrary bytes. */
import fc from 'fast-check';
import t from 'tap';
import { packetForBackend, readPacket, resetPacket } from '../../platform/packet-codec.js';

const OPEN = '0000a1b2c3d5112233440000000010000000' + '00c61200019c416440000701bb';
const RESET = '00000000000000000000000000002000000000' + '6440000701bbc61200019c41';
const HEADER_BYTES = 31;

function bytesOf(hex: string): Uint8Array {
  return Buffer.from(hex, 'hex');
}

t.test('an open is decoded', async (t) => {
  const packet = readPacket(bytesOf(OPEN));
  t.match(packet, {
    sourceHost: 0x64400007,
    sourcePort: 40_001,
    destinationHost: 0xc6120001,
    destinationPort: 443,
    isOpen: true,
    isReset: false,
    copyNumber: 0,
    token: 0,
    sequence: 0x11223344,
    dataLength: 0,
  });
});

t.test('the reset of an open matches the known packet', async (t) => {
  const packet = readPacket(bytesOf(OPEN));
  t.equal(packet && Buffer.from(resetPacket(packet)).toString('hex'), RESET);
});

t.test(
  'a reset of an established flow has the sequence number that the client acknowledged',
  async (t) => {
    const data = Buffer.from(OPEN, 'hex');
    data.writeUInt32BE(777, 10);
    data.writeUInt8(8, 14);
    const packet = readPacket(data);
    t.equal(packet && Buffer.from(resetPacket(packet)).readUInt32BE(6), 777);
  },
);

t.test(
  'packets to a back end are prefixed with its 8-byte ID, and only the token changes',
  async (t) => {
    fc.assert(
      fc.property(
        fc.uint8Array({ minLength: HEADER_BYTES, maxLength: 1_231 }),
        fc.uint8Array({ minLength: 8, maxLength: 8 }),
        fc.integer({ min: 1, max: 0xffffffff }),
        (packet, instance, token) => {
          const out = Buffer.from(packetForBackend(packet, instance, token));
          const expected = Buffer.concat([instance, packet]);
          expected.writeUInt32BE(token, 8 + 15);
          return out.equals(expected);
        },
      ),
      { seed: 1 },
    );
    t.pass();
  },
);

t.test(
  'arbitrary bytes do not make the codec throw, and the length field must match',
  async (t) => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 1_400 }), (bytes) => {
        const packet = readPacket(bytes);
        return packet === undefined || bytes.length === HEADER_BYTES + packet.dataLength;
      }),
      { seed: 1, numRuns: 2_000 },
    );
    t.equal(readPacket(bytesOf(OPEN.slice(2))), undefined, 'cut short');
    t.equal(readPacket(bytesOf(`${OPEN}00`)), undefined, 'too long');
    const forged = Buffer.from(OPEN, 'hex');
    forged.writeUInt8(24, 14);
    t.equal(readPacket(forged), undefined, 'clients never send an open with the acknowledge flag');
  },
);
