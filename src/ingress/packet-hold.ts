/**
 * @file Packets that came before a balancer knew where to send them. A client whose packet is dropped sends
 * it again only after up to seconds, while a balancer that has just started knows after some hundred
 * milliseconds: so it keeps what comes until then, within bounds.
 */
import type { PacketView } from './packet-view.js';

/** A packet that waits. */
export interface HeldPacket {
  readonly datagram: Uint8Array;
  readonly packet: PacketView;
  readonly heldAtMs: number;
}

/** Bounds of what waits. */
export interface PacketHoldOptions {
  readonly maxPackets: number;
  /** A packet that waited for longer is of no use to its client. */
  readonly maxAgeMs: number;
}

/** Packets that wait, oldest first. */
export interface PacketHold {
  readonly size: number;
  /** @returns false where there is no room: the packet is dropped */
  add(held: HeldPacket): boolean;
  /** @returns what waited and is young enough, in the order in which it came; nothing waits afterwards */
  release(nowMs: number): HeldPacket[];
}

/**
 * @returns a hold with nothing in it
 */
export function createPacketHold({ maxPackets, maxAgeMs }: PacketHoldOptions): PacketHold {
  let waiting: HeldPacket[] = [];

  return {
    get size() {
      return waiting.length;
    },
    add,
    release,
  };

  function add(held: HeldPacket): boolean {
    if (waiting.length >= maxPackets) {
      waiting = waiting.filter(({ heldAtMs }) => held.heldAtMs - heldAtMs <= maxAgeMs);
    }
    if (waiting.length >= maxPackets) {
      return false;
    }
    waiting.push(held);
    return true;
  }

  function release(nowMs: number): HeldPacket[] {
    const released = waiting.filter(({ heldAtMs }) => nowMs - heldAtMs <= maxAgeMs);
    waiting = [];
    return released;
  }
}
