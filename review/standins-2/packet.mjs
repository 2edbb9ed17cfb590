/** @file Packets of the platform: a head of 31 bytes, big-endian, and up to 1,200 bytes of data. */
import { Buffer } from 'node:buffer';

const HEAD_BYTES = 31;
const ID_BYTES = 8;
export const SYN = 16;
export const ACK = 8;
export const FIN = 1;
export const RST = 32;

const toNumber = (host) => host.split('.').reduce((sum, part) => sum * 256 + Number(part), 0);
const toHost = (number) =>
  [24, 16, 8, 0].map((shift) => Math.floor(number / 2 ** shift) % 256).join('.');

/** The key that only the ends know; the balancer sees the sum, but can't compute it. */
function sumOf(bytes) {
  let sum = 0x5eed;
  bytes.forEach((byte, index) => {
    const isOutsideSum = (index >= 2 && index < 6) || (index >= 15 && index < 19);
    if (!isOutsideSum) {
      sum = (Math.imul(sum, 31) + byte) >>> 0;
    }
  });
  return sum || 1;
}

/** @returns the datagram of a packet of an end */
export function encode({ flags, seq, ack, echo, src, sport, dst, dport, data = '' }) {
  const body = Buffer.from(data, 'latin1');
  const out = Buffer.alloc(HEAD_BYTES + body.length);
  out.writeUInt16BE(body.length, 0);
  out.writeUInt32BE(seq >>> 0, 6);
  out.writeUInt32BE(ack >>> 0, 10);
  out.writeUInt8(flags, 14);
  out.writeUInt32BE(echo >>> 0, 15);
  out.writeUInt32BE(toNumber(dst), 19);
  out.writeUInt16BE(sport, 23);
  out.writeUInt32BE(toNumber(src), 25);
  out.writeUInt16BE(dport, 29);
  out.set(body, HEAD_BYTES);
  out.writeUInt32BE(sumOf(out), 2);
  return out;
}

/** @returns the fields of a packet; `isIntact` is false if its sum is not that of an end */
export function decode(bytes) {
  const sum = bytes.readUInt32BE(2);
  return {
    flags: bytes.readUInt8(14),
    seq: bytes.readUInt32BE(6),
    ack: bytes.readUInt32BE(10),
    echo: bytes.readUInt32BE(15),
    dst: toHost(bytes.readUInt32BE(19)),
    sport: bytes.readUInt16BE(23),
    src: toHost(bytes.readUInt32BE(25)),
    dport: bytes.readUInt16BE(29),
    data: bytes.toString('latin1', HEAD_BYTES, HEAD_BYTES + bytes.readUInt16BE(0)),
    sum,
    isIntact: sum === sumOf(bytes),
  };
}

/** @returns the ID that a datagram to a back end names, and the packet in it */
export function decodeForBackend(datagram) {
  return {
    id: datagram.toString('hex', 0, ID_BYTES),
    packet: decode(datagram.subarray(ID_BYTES)),
  };
}
