// The packets of the platform: a head of 31 bytes, big-endian, and up to 1,200 bytes of data. `sum` is keyed; the key is
// that of the stand-ins, which the system does not know.
import { createHmac } from 'node:crypto';

const HEAD_BYTES = 31;
const SUM_KEY = 'stand-ins of the review';
export const flag = { syn: 16, ack: 8, fin: 1, rst: 32, bounced: 2 };

function hostNumber(host) {
  return host.split('.').reduce((sum, part) => sum * 256 + Number(part), 0);
}

function hostText(number) {
  return [24, 16, 8, 0].map((shift) => (number >>> shift) & 255).join('.');
}

function sumOf(bytes) {
  const copy = Buffer.from(bytes);
  copy.fill(0, 2, 6);
  copy.writeUInt8(copy.readUInt8(14) & ~flag.bounced, 14);
  copy.fill(0, 15, 19);
  return createHmac('sha256', SUM_KEY).update(copy).digest().readUInt32BE(0);
}

export function encodePacket({ src, sport, dst, dport, flags, seq, ack, echo, data }) {
  const body = data ?? Buffer.alloc(0);
  const bytes = Buffer.alloc(HEAD_BYTES + body.length);
  bytes.writeUInt16BE(body.length, 0);
  bytes.writeUInt32BE(seq >>> 0, 6);
  bytes.writeUInt32BE(ack >>> 0, 10);
  bytes.writeUInt8(flags, 14);
  bytes.writeUInt32BE(echo >>> 0, 15);
  bytes.writeUInt32BE(hostNumber(dst), 19);
  bytes.writeUInt16BE(sport, 23);
  bytes.writeUInt32BE(hostNumber(src), 25);
  bytes.writeUInt16BE(dport, 29);
  body.copy(bytes, HEAD_BYTES);
  bytes.writeUInt32BE(sumOf(bytes), 2);
  return bytes;
}

export function decodePacket(bytes) {
  const flags = bytes.readUInt8(14);
  const sum = bytes.readUInt32BE(2);
  return {
    seq: bytes.readUInt32BE(6),
    ack: bytes.readUInt32BE(10),
    flags,
    echo: bytes.readUInt32BE(15),
    dst: hostText(bytes.readUInt32BE(19)),
    sport: bytes.readUInt16BE(23),
    src: hostText(bytes.readUInt32BE(25)),
    dport: bytes.readUInt16BE(29),
    data: bytes.subarray(HEAD_BYTES),
    isSystemReset: (flags & flag.rst) !== 0 && sum === 0,
    isIntact: sum === sumOf(bytes),
  };
}

/** The number that names a back end in the 8 bytes before a packet. */
export function backendNumber(id) {
  const digits = id.slice(id.lastIndexOf('-') + 1);
  return BigInt(`0x${digits}`);
}
