/**
 * @file Packet format of this product, with 32-bit tokens, encoded as MessagePack maps; and its codec for balancers.
 */
import { Packr } from 'msgpackr';
import { packHost, parseAddress, unpackHost, type Address } from '../../shared/common/address.js';
import type { PacketCodec } from './packet-codec.js';
import type { PacketView } from './packet-view.js';

const packetKinds = ['open', 'accept', 'data', 'acknowledge', 'finish', 'reset'] as const;

/** Type of a packet. */
export type PacketKind = (typeof packetKinds)[number];

/** A packet between a client and a back end. */
export interface TokenPacket {
  readonly kind: PacketKind;
  /** IPv4, like `to`. */
  readonly from: Address;
  readonly to: Address;
  readonly token: number;
  /** Retransmission count of an open. */
  readonly copyNumber: number;
  /** Chosen by the accepting back end and echoed by the client. */
  readonly acceptNumber: number;
  /** Request that the data belongs to; 0 for none. */
  readonly requestId: number;
  readonly sequence: number;
  readonly acknowledged: number;
  readonly dataLength: number;
  /** Checksum that detects changed packets; see `sumOf`. */
  readonly sum: number;
}

/** A packet for a back end, with the instance number of its recipient. */
interface PacketForBackend {
  readonly instance: string;
  readonly packet: TokenPacket;
}

const packr = new Packr({ useRecords: false });
const kinds: ReadonlySet<unknown> = new Set(packetKinds);
const numberFields = [
  'token',
  'copyNumber',
  'acceptNumber',
  'requestId',
  'sequence',
  'acknowledged',
  'dataLength',
  'sum',
] as const;

/** @returns the packet with its checksum */
export function sealPacket(packet: Omit<TokenPacket, 'sum'>): TokenPacket {
  return { ...packet, sum: sumOf(packet) };
}

/** @returns true if the checksum is valid */
export function isIntact(packet: TokenPacket): boolean {
  return packet.sum === sumOf(packet);
}

/** @returns the encoded packet */
export function encodePacket(packet: TokenPacket): Uint8Array {
  return packr.pack(packet);
}

/** @returns the packet, or undefined if the bytes are malformed */
export function decodePacket(bytes: Uint8Array): TokenPacket | undefined {
  const value = unpack(bytes);
  return isTokenPacket(value) ? value : undefined;
}

/** @returns the packet and its recipient, or undefined if the bytes are malformed */
export function decodeForBackend(bytes: Uint8Array): PacketForBackend | undefined {
  const value = unpack(bytes) as Partial<PacketForBackend> | null | undefined;
  const isForBackend = typeof value?.instance === 'string' && isTokenPacket(value.packet);
  return isForBackend ? (value as PacketForBackend) : undefined;
}

/** The codec of token packets. */
export const tokenPacketCodec: PacketCodec = {
  read: (datagram) => {
    const packet = decodePacket(datagram);
    return packet === undefined ? undefined : viewOf(packet);
  },
  toBackend: (datagram, instanceBytes, token) => {
    const packet = packr.unpack(datagram) as TokenPacket;
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
  requestIdOf: (datagram) => {
    const requestId = decodePacket(datagram)?.requestId ?? 0;
    return requestId === 0 ? undefined : String(requestId);
  },
  clientAddress: ({ sourceHost, sourcePort }) => ({
    host: unpackHost(sourceHost),
    port: sourcePort,
  }),
};

function unpack(bytes: Uint8Array): unknown {
  try {
    return packr.unpack(bytes);
  } catch {
    // Not MessagePack: the caller counts the datagram as malformed.
    return undefined;
  }
}

function isTokenPacket(value: unknown): value is TokenPacket {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  const packet = value as Record<string, unknown>;
  return (
    kinds.has(packet.kind) &&
    numberFields.every((name) => Number.isSafeInteger(packet[name])) &&
    isAddress(packet.from) &&
    isAddress(packet.to)
  );
}

function isAddress(value: unknown): boolean {
  const { host, port } = (value ?? {}) as Partial<Address>;
  return typeof host === 'string' && !host.includes(':') && isHostAndPort(host, port);
}

function isHostAndPort(host: string, port: unknown): boolean {
  return Number.isInteger(port) && parseAddress(`${host}:${String(port)}`) !== undefined;
}

const SUM_FACTOR = 31;

/** Omits the token, which balancers replace, and the sequence fields. */
function sumOf(packet: Omit<TokenPacket, 'sum'>): number {
  const { kind, from, to, copyNumber, acceptNumber, requestId } = packet;
  const fields = [kind, from.host, from.port, to.host, to.port];
  const text = [...fields, copyNumber, acceptNumber, requestId].join();
  let sum = 0;
  for (const character of text) {
    sum = (Math.imul(sum, SUM_FACTOR) + (character.codePointAt(0) ?? 0)) | 0;
  }
  return sum;
}

function viewOf(packet: TokenPacket): PacketView {
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
