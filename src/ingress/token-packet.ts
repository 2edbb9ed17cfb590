/**
 * @file The packets of the stand-in clients and back ends, and the codec by which simulated balancers
 * read them.
 */
import { Packr } from 'msgpackr';
import { packHost, unpackHost, type Address } from '../../common/address.js';
import type { PacketCodec } from '../../daemon/ingress-process.js';
import type { PacketView } from '../../ingress/packet-view.js';

/** What a packet does. */
export type PacketKind = 'open' | 'accept' | 'data' | 'acknowledge' | 'finish' | 'reset';

/** A packet between a client and a back end. */
export interface StandInPacket {
  readonly kind: PacketKind;
  readonly from: Address;
  readonly to: Address;
  readonly token: number;
  /** Of an open: its copies before it. */
  readonly copyNumber: number;
  /** Chosen by the back end that accepts; named by the client from then on. */
  readonly acceptNumber: number;
  /** Number of the request that the data carries; 0 for none. */
  readonly requestId: number;
  readonly sequence: number;
  readonly acknowledged: number;
  readonly dataLength: number;
  /** Over everything but the token, so that a changed packet is noticed. */
  readonly sum: number;
}

/** A packet for a back end, with what names the one that is meant. */
export interface PacketForBackend {
  readonly instance: string;
  readonly packet: StandInPacket;
}

const packr = new Packr({ useRecords: false });

/** @returns the packet with its sum */
export function sealPacket(packet: Omit<StandInPacket, 'sum'>): StandInPacket {
  return { ...packet, sum: sumOf(packet) };
}

/** @returns true where nothing but the token was changed on the way */
export function isIntact(packet: StandInPacket): boolean {
  return packet.sum === sumOf(packet);
}

const SUM_FACTOR = 31;

function sumOf({
  kind,
  from,
  to,
  copyNumber,
  acceptNumber,
  requestId,
}: Omit<StandInPacket, 'sum'>): number {
  const text = [
    kind,
    from.host,
    from.port,
    to.host,
    to.port,
    copyNumber,
    acceptNumber,
    requestId,
  ].join();
  let sum = 0;
  for (const letter of text) {
    sum = (Math.imul(sum, SUM_FACTOR) + (letter.codePointAt(0) ?? 0)) | 0;
  }
  return sum;
}

/** @returns the bytes of a packet */
export function encodePacket(packet: StandInPacket): Uint8Array {
  return packr.pack(packet);
}

/** @returns the packet, or undefined where the bytes are none */
export function decodePacket(bytes: Uint8Array): StandInPacket | undefined {
  try {
    return packr.unpack(bytes) as StandInPacket;
  } catch {
    return undefined;
  }
}

/** @returns what a back end gets */
export function decodeForBackend(bytes: Uint8Array): PacketForBackend {
  return packr.unpack(bytes) as PacketForBackend;
}

function viewOf(packet: StandInPacket): PacketView {
  return {
    sourceHost: Number(packHost(packet.from.host)),
    sourcePort: packet.from.port,
    destinationHost: Number(packHost(packet.to.host)),
    destinationPort: packet.to.port,
    isOpen: packet.kind === 'open',
    isFinish: packet.kind === 'finish',
    isReset: packet.kind === 'reset',
    copyNumber: packet.copyNumber,
    token: packet.token,
    sequence: packet.sequence,
    acknowledged: packet.acknowledged,
    dataLength: packet.dataLength,
  };
}

/** The codec of stand-in packets. */
export const standInCodec: PacketCodec = {
  read: (datagram) => {
    const packet = decodePacket(datagram);
    return packet === undefined ? undefined : viewOf(packet);
  },
  toBackend: (datagram, instanceBytes, token) => {
    const packet = packr.unpack(datagram) as StandInPacket;
    const instance = Buffer.from(instanceBytes).toString('hex');
    const forBackend: PacketForBackend = { instance, packet: { ...packet, token } };
    return packr.pack(forBackend);
  },
  resetFor: (view) =>
    encodePacket(
      sealPacket({
        kind: 'reset',
        from: { host: unpackHost(view.destinationHost), port: view.destinationPort },
        to: { host: unpackHost(view.sourceHost), port: view.sourcePort },
        token: 0,
        copyNumber: 0,
        acceptNumber: 0,
        requestId: 0,
        sequence: 0,
        acknowledged: 0,
        dataLength: 0,
      }),
    ),
  clientAddress: ({ sourceHost, sourcePort }) => ({
    host: unpackHost(sourceHost),
    port: sourcePort,
  }),
};
