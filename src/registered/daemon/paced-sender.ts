/**
 * @file Paces datagrams to the rate of the machine's network link: the timer and the socket around
 * `egress/packet-scheduler.ts`. Without a rate, datagrams are sent immediately.
 */
import type { Address } from '../../shared/common/address.js';
import {
  createPacketScheduler,
  type PacketLabel,
  type ReleasedPacket,
  type SchedulerDrop,
} from '../egress/packet-scheduler.js';

/** Options and dependencies of a sender. */
export interface PacedSenderOptions {
  /** Rate of the link in bytes per millisecond; undefined disables pacing. */
  readonly rateBytesPerMs: number | undefined;
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  send(datagram: Uint8Array, to: Address): void;
  /** Called for each packet that is dropped. */
  onDropped(reason: SchedulerDrop, label: PacketLabel): void;
}

/** Counters of a sender, for metrics. */
export interface PacedSenderCounts {
  /** Number of queued packets by the upper bound of their queueing delay in milliseconds. */
  readonly waitedMs: ReadonlyMap<number, number>;
  /** Number of packets that were merged with a queued or just sent copy. */
  merged: number;
}

/** Sends datagrams at the rate of the link. */
export interface PacedSender {
  /**
   * Sends or queues a datagram. It is kept by reference and must not be modified.
   * @param label called only if the packet can't be sent immediately
   */
  send(datagram: Uint8Array, to: Address, label: () => PacketLabel): void;
  /** Charges bytes that another socket sent over the link. */
  charge(bytes: number): void;
  /** Bytes in the queue. */
  readonly queuedBytes: number;
  readonly counts: PacedSenderCounts;
}

interface Datagram {
  readonly bytes: Uint8Array;
  readonly to: Address;
  readonly label: PacketLabel;
}

/** Upper bounds of the histogram of queueing delays; labels of `amberlift_ingress_waited_packets_total`. */
const WAIT_BOUNDS_MS = [5, 20, 50, 100, 200, 400, 800, 1_600] as const;

/** @returns a sender with an empty queue */
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
      scheduler.release(options.nowMs()).forEach(handleReleased);
      setTimer();
    });
  }

  function handleReleased(released: ReleasedPacket<() => Datagram>): void {
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
