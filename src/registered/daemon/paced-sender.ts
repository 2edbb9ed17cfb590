/**
 * @file Sends datagrams no faster than the link of the machine carries them: the timer and the socket around
 * `egress/packet-scheduler.ts`, which decides. Without a rate everything is sent at once.
 *
 * Owns the datagrams that wait, by reference, and the counts of how long they waited.
 */
import type { Address } from '../../shared/common/address.js';
import {
  createPacketScheduler,
  type PacketLabel,
  type Released,
  type SchedulerDrop,
} from '../egress/packet-scheduler.js';

/** What a sender needs of the world. */
export interface PacedSenderOptions {
  /** What the link carries, in bytes a millisecond; undefined for no pacing. */
  readonly rateBytesPerMs: number | undefined;
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  send(datagram: Uint8Array, to: Address): void;
  /** A packet was not sent. */
  onDropped(reason: SchedulerDrop, label: PacketLabel): void;
}

/** What a sender has done so far, for metrics. */
export interface PacedSenderCounts {
  /** Packets that waited, by the upper bound of their waiting time in milliseconds. */
  readonly waitedMs: ReadonlyMap<number, number>;
  /** Packets that took the place of a waiting copy. */
  merged: number;
}

/** Sends datagrams at the rate of a link. */
export interface PacedSender {
  /**
   * Sends a datagram now or later; it is kept by reference until then.
   * @param label names the packet, called only where it has to wait
   */
  send(datagram: Uint8Array, to: Address, label: () => PacketLabel): void;
  /** Counts bytes that went over the link by another socket. */
  charge(bytes: number): void;
  /** Bytes that wait. */
  readonly queuedBytes: number;
  readonly counts: PacedSenderCounts;
}

interface Datagram {
  readonly bytes: Uint8Array;
  readonly to: Address;
  readonly label: PacketLabel;
}

/** Upper bounds of the histogram of waiting times, in milliseconds; labels of `amberlift_ingress_waited_packets_total`. */
const WAIT_BOUNDS_MS = [5, 20, 50, 100, 200, 400, 800, 1_600] as const;

/** @returns a sender with nothing waiting */
export function createPacedSender(options: PacedSenderOptions): PacedSender {
  const { rateBytesPerMs } = options;
  return rateBytesPerMs === undefined
    ? createDirectSender(options)
    : createSchedulingSender(options, rateBytesPerMs);
}

function createDirectSender(options: PacedSenderOptions): PacedSender {
  return {
    send: (datagram, to) => options.send(datagram, to),
    charge: () => undefined,
    queuedBytes: 0,
    counts: { waitedMs: new Map(), merged: 0 },
  };
}

function createSchedulingSender(options: PacedSenderOptions, rateBytesPerMs: number): PacedSender {
  const scheduler = createPacketScheduler<() => Datagram>({ rateBytesPerMs });
  const waitedMs = new Map<number, number>();
  const counts: PacedSenderCounts = { waitedMs, merged: 0 };
  let isTimerSet = false;

  return {
    send,
    charge: (bytes) => scheduler.charge(bytes, options.nowMs()),
    get queuedBytes() {
      return scheduler.queuedBytes;
    },
    counts,
  };

  function send(bytes: Uint8Array, to: Address, label: () => PacketLabel): void {
    const datagram = () => ({ bytes, to, label: label() });
    const offered = scheduler.offer(datagram, bytes.length, label, options.nowMs());
    switch (offered.type) {
      case 'send':
        options.send(bytes, to);
        return;
      case 'dropped':
        options.onDropped(offered.reason, label());
        return;
      case 'merged':
        counts.merged += 1;
        return;
      case 'queued':
        setTimer();
        return;
    }
  }

  function setTimer(): void {
    const waitMs = scheduler.waitMs(options.nowMs());
    if (isTimerSet || waitMs === undefined) {
      return;
    }
    isTimerSet = true;
    options.after(waitMs, () => {
      isTimerSet = false;
      scheduler.release(options.nowMs()).forEach(carryOut);
      setTimer();
    });
  }

  function carryOut(released: Released<() => Datagram>): void {
    const { bytes, to, label } = released.payload();
    if (released.type === 'dropped') {
      options.onDropped(released.reason, label);
      return;
    }
    recordWait(released.waitedMs);
    options.send(bytes, to);
  }

  function recordWait(ms: number): void {
    const bound = WAIT_BOUNDS_MS.find((boundMs) => ms <= boundMs) ?? Number.POSITIVE_INFINITY;
    waitedMs.set(bound, (waitedMs.get(bound) ?? 0) + 1);
  }
}
