/**
 * @file Encodes the messages of hollow nodes as the daemons' links do, to know their bytes and the time
 * that it takes. A message with the same content for many receivers is encoded and decoded once; its
 * size and time are charged to each of them, and all receive the same decoded object, which saves memory.
 */
import { Packr } from 'msgpackr';
import {
  decodeGossip,
  encodeGossip,
  type GossipKey,
} from '../../../managed/gossip/gossip-codec.js';
import type { PeerDatagram } from '../../../managed/gossip/gossip-messages.js';

/** A message after encoding and decoding. */
export interface WireMessage {
  readonly kind: string;
  readonly bytes: number;
  readonly encodeMs: number;
  readonly decodeMs: number;
  readonly decoded: object;
}

/** Encodes and decodes messages. */
export class Wire {
  private readonly packr = new Packr({ useRecords: false });
  private readonly byContent = new WeakMap<object, WireMessage>();
  private lastSnapshot: { readonly index: number; readonly wire: WireMessage } | undefined;

  /**
   * @param content the part of the message that is one object for all receivers, where there is one
   */
  pass(message: object, kind: string, content?: object): WireMessage {
    const known = content === undefined ? undefined : this.byContent.get(content);
    if (known !== undefined) {
      return known;
    }
    const wire = this.encode(message, kind);
    if (content !== undefined) {
      this.byContent.set(content, wire);
    }
    return wire;
  }

  /** As `pass`, for a datagram between balancers. */
  passGossip(message: PeerDatagram, key: GossipKey): WireMessage {
    const startMs = performance.now();
    const datagram = encodeGossip(message, key);
    const encodedMs = performance.now();
    const decoded = decodeGossip(datagram, key)._unsafeUnwrap();
    const decodeMs = performance.now() - encodedMs;
    const bytes = datagram.length;
    return {
      kind: `gossip-${message.type}`,
      bytes,
      encodeMs: encodedMs - startMs,
      decodeMs,
      decoded,
    };
  }

  /** As `pass`, for a snapshot of the configuration: those of the same index are the same. */
  passSnapshot(message: object, index: number): WireMessage {
    if (this.lastSnapshot?.index !== index) {
      this.lastSnapshot = { index, wire: this.encode(message, 'config-snapshot') };
    }
    return this.lastSnapshot.wire;
  }

  private encode(message: object, kind: string): WireMessage {
    const startMs = performance.now();
    const data = this.packr.pack(message);
    const encodedMs = performance.now();
    const decoded = this.packr.unpack(data) as object;
    const decodeMs = performance.now() - encodedMs;
    return { kind, bytes: data.length, encodeMs: encodedMs - startMs, decodeMs, decoded };
  }
}
