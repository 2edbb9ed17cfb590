/**
 * @file The product's own packets with 32-bit tokens, as MessagePack maps: what clients and back ends write,
 * and the codec by which balancers read it.
 */
import { Packr } from 'msgpackr';
import { packHost, parseAddress, unpackHost, type Address } from '../../shared/common/address.js';
import type { PacketCodec } from './packet-codec.js';
import type { PacketView } from './packet-view.js';

const packetKinds = ['open', 'accept', 'data', 'acknowledge', 'finish', 'reset'] as const;

/** What a packet does. */
export type PacketKind = (typeof packetKinds)[number];

/** A packet between a client and a back end. */
export interface TokenPacket {
  readonly kind: PacketKind;
  /** IPv4 numbers; so is `to`. */
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

/** @returns the packet with its sum */
export function sealPacket(packet: Omit<TokenPacket, 'sum'>): TokenPacket {
  return { ...packet, sum: sumOf(packet) };
}

/** @returns true where nothing but the token was changed on the way */
export function isIntact(packet: TokenPacket): boolean {
  return packet.sum === sumOf(packet);
}

/** @returns the bytes of a packet */
export function encodePacket(packet: TokenPacket): Uint8Array {
  return packr.pack(packet);
}

/** @returns the packet, or undefined where the bytes are none */
export function decodePacket(bytes: Uint8Array): TokenPacket | undefined {
  const value = unpack(bytes);
  return isTokenPacket(value) ? value : undefined;
}

/** @returns what a back end gets, or undefined where the bytes are none of it */
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
  return typeof host === 'string' && !host.includes(':') && isPlace(host, port);
}

function isPlace(host: string, port: unknown): boolean {
  return Number.isInteger(port) && parseAddress(`${host}:${String(port)}`) !== undefined;
}

const SUM_FACTOR = 31;

function sumOf(packet: Omit<TokenPacket, 'sum'>): number {
  const { kind, from, to, copyNumber, acceptNumber, requestId } = packet;
  const fields = [kind, from.host, from.port, to.host, to.port];
  const text = [...fields, copyNumber, acceptNumber, requestId].join();
  let sum = 0;
  for (const letter of text) {
    sum = (Math.imul(sum, SUM_FACTOR) + (letter.codePointAt(0) ?? 0)) | 0;
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
