/**
 * @file Decides which packets a balancer keeps that can't be decided before its first feed, for how long, and in which
 * order they are handled afterwards. Clients repeat what is not answered, so of each packet only the last copy is kept,
 * and only until the next copy would come.
 */
import { flowKeyOf, type PacketView } from '../ingress/packet-view.js';

/** A packet that is kept until it can be decided. */
export interface EarlyPacket {
  readonly datagram: Uint8Array;
  readonly packet: PacketView;
}

/** The packets that one balancer keeps. */
export interface EarlyPackets {
  readonly size: number;
  /** Keeps a packet in place of an earlier copy; false if the table is full. */
  keep(early: EarlyPacket, nowMs: number): boolean;
  /** Removes and returns the packets whose next copy is due. */
  takeExpired(nowMs: number): EarlyPacket[];
  /** Removes and returns the packets of established flows that meet a condition, in order of their arrival. */
  takeEstablished(canDecide: (packet: PacketView) => boolean): EarlyPacket[];
  /** Removes and returns all opens, the most urgent first and the oldest open of each client before its others. */
  takeOpens(): EarlyPacket[];
}

/** Limits and order of the kept packets. */
export interface EarlyPacketsOptions {
  /** Limit on the bytes of all kept packets. */
  readonly maxBytes: number;
  readonly maxPackets: number;
  /** Urgency of an open; the lowest value is handled first. */
  readonly rankOf: (packet: PacketView) => number;
}

interface KeptPacket extends EarlyPacket {
  /** Arrival of the first copy. */
  readonly arrivedAtMs: number;
  readonly expiresAtMs: number;
}

interface RankedOpen {
  readonly kept: KeptPacket;
  readonly rank: number;
  /** Number of older opens of the same client. */
  readonly position: number;
}

/** Time from each copy of an open to the next one, and from the last one to the end of the attempt. */
const OPEN_COPY_LIFETIMES_MS = [200, 400, 800] as const;
/** Longest time between two copies of a data packet. */
const DATA_COPY_LIFETIME_MS = 1_600;
/** Memory per packet beside its bytes. */
const OVERHEAD_BYTES = 256;

/** The default limits. */
export const defaultEarlyPacketsOptions: EarlyPacketsOptions = {
  maxBytes: 256 * 1024,
  maxPackets: 512,
  rankOf: () => 0,
};

/** @returns an empty table */
export function createEarlyPackets(
  options: EarlyPacketsOptions = defaultEarlyPacketsOptions,
): EarlyPackets {
  const kept = new Map<string, KeptPacket>();
  let bytes = 0;

  return {
    get size() {
      return kept.size;
    },
    keep,
    takeExpired: (nowMs) => take(({ expiresAtMs }) => nowMs >= expiresAtMs),
    takeEstablished: (canDecide) => take(({ packet }) => !packet.isOpen && canDecide(packet)),
    takeOpens: () => byUrgency(take(({ packet }) => packet.isOpen)),
  };

  function keep({ datagram, packet }: EarlyPacket, nowMs: number): boolean {
    const key = contentKeyOf(packet);
    const earlier = kept.get(key);
    const newBytes = bytes + sizeOf(datagram) - (earlier ? sizeOf(earlier.datagram) : 0);
    const newCount = kept.size + (earlier ? 0 : 1);
    if (newBytes > options.maxBytes || newCount > options.maxPackets) {
      return false;
    }
    bytes = newBytes;
    kept.set(key, {
      // Copied, since the socket may reuse the buffer.
      datagram: Uint8Array.from(datagram),
      packet,
      arrivedAtMs: earlier?.arrivedAtMs ?? nowMs,
      expiresAtMs: nowMs + lifetimeMs(packet),
    });
    return true;
  }

  function take(isTaken: (packet: KeptPacket) => boolean): KeptPacket[] {
    const taken = [...kept].filter(([, packet]) => isTaken(packet));
    taken.forEach(([key, { datagram }]) => {
      kept.delete(key);
      bytes -= sizeOf(datagram);
    });
    return taken.map(([, packet]) => packet);
  }

  function byUrgency(opens: readonly KeptPacket[]): KeptPacket[] {
    const oldestFirst = [...opens].sort((a, b) => a.arrivedAtMs - b.arrivedAtMs);
    const countByClient = new Map<number, number>();
    const ranked = oldestFirst.map((open): RankedOpen => {
      const client = open.packet.sourceHost;
      const position = countByClient.get(client) ?? 0;
      countByClient.set(client, position + 1);
      return { kept: open, rank: options.rankOf(open.packet), position };
    });
    return ranked
      .sort((a, b) => a.rank - b.rank || a.position - b.position)
      .map(({ kept: open }) => open);
  }
}

function sizeOf(datagram: Uint8Array): number {
  return datagram.length + OVERHEAD_BYTES;
}

function lifetimeMs({ isOpen, copyNumber }: PacketView): number {
  if (!isOpen) {
    return DATA_COPY_LIFETIME_MS;
  }
  return OPEN_COPY_LIFETIMES_MS[Math.min(copyNumber, OPEN_COPY_LIFETIMES_MS.length - 1)] ?? 0;
}

/** Copies of a packet have the same key. */
function contentKeyOf(packet: PacketView): string {
  return `${flowKeyOf(packet)} ${contentOf(packet)}`;
}

function contentOf({ isOpen, isFinish, isReset, sequence, dataLength }: PacketView): string {
  if (isOpen) {
    return 'open';
  }
  if (isReset || isFinish) {
    return isReset ? 'reset' : `finish ${sequence}`;
  }
  return dataLength > 0 ? `${sequence}+${dataLength}` : 'acknowledgement';
}
