/**
 * @file Schedules packets for a link of known rate. Packets above the rate are queued here instead of being lost in the
 * network, where each loss costs the sender a retransmission timeout of at least 200 ms. Short packets (opens,
 * acknowledgements) go first, each kind by class of urgency (`class-queues.ts`) and within it by `flow-queues.ts`;
 * `byte-budget.ts` limits the rate, and `sent-copies.ts` suppresses copies of packets that were just sent.
 */
import { createByteBudget } from './byte-budget.js';
import { URGENCY_CLASSES } from '../decisions/urgency.js';
import { createClassQueues } from './class-queues.js';
import type { WaitingPacket } from './flow-queues.js';
import { createSentCopies } from './sent-copies.js';

/** Options of a scheduler. */
export interface SchedulerOptions {
  /** Rate of the link in bytes per millisecond. */
  readonly rateBytesPerMs: number;
}

/** Identifies a packet that is to be queued. */
export interface PacketLabel {
  /** Key of the flow; packets of one flow keep their order. */
  readonly flow: string;
  /** Identifies the content within the flow, equal for retransmissions; undefined if they can't be recognized. */
  readonly content: string | undefined;
  /** 32-bit position in the stream of the flow; undefined to append the packet. */
  readonly position?: number | undefined;
  /** Class of the flow's route, 0 is the most urgent; undefined if routes are not distinguished. */
  readonly urgencyClass?: number | undefined;
  /** True for opens that are to wait behind established flows while the queue is long. */
  readonly yieldsToEstablished?: boolean | undefined;
}

/** Why a packet was dropped; a reason in the log line and the metric of dropped packets. */
export type SchedulerDrop =
  /** The queue was full, and the flow of the packet had the most bytes in it. */
  | 'queue-full'
  /** The packet exceeded the maximum queueing delay; its sender has retransmitted or abandoned it. */
  | 'too-old';

/** Outcome of offering a packet. */
export type OfferResult =
  | { readonly type: 'send' }
  | { readonly type: 'queued' }
  /** The packet replaced a queued copy, or a copy was just sent. */
  | { readonly type: 'merged' }
  | { readonly type: 'dropped'; readonly reason: SchedulerDrop };

/** A packet taken from the queue. */
export type ReleasedPacket<Payload> =
  | { readonly type: 'send'; readonly payload: Payload; readonly waitedMs: number }
  | { readonly type: 'dropped'; readonly payload: Payload; readonly reason: SchedulerDrop };

/** Scheduler of one link. */
export interface PacketScheduler<Payload> {
  /** Bytes in the queue. */
  readonly queuedBytes: number;
  /**
   * Sends, queues, merges or drops a packet.
   * @param label called only if the packet can't be sent immediately
   */
  offer(payload: Payload, bytes: number, label: () => PacketLabel, nowMs: number): OfferResult;
  /** @returns the packets to send or drop now, in order */
  release(nowMs: number): ReleasedPacket<Payload>[];
  /** @returns time until the next call of `release`, in milliseconds; undefined if the queue is empty */
  waitMs(nowMs: number): number | undefined;
  /** Charges bytes that another socket sent over the link. */
  charge(bytes: number, nowMs: number): void;
}

/** Fraction of the link's rate; leaves room for the headers that the kernel adds, about 3 % of a full packet. */
const MAX_RATE_FRACTION = 0.95;
/** Opens, acknowledgements and short requests; they go before bulk data. */
const MAX_SHORT_PACKET_BYTES = 300;
/** Queue capacity as transmission time on the link; at 1.5 Mbit/s it holds the windows of 18 flows, 16 full packets each. */
const MAX_QUEUE_MS = 2_000;
/** Senders retransmit short packets after 200 and 600 ms. */
const MAX_SHORT_WAIT_MS = 400;
/** Older data is obsolete: senders retransmit within 1.6 s, and a copy replaces the queued packet. */
const MAX_BULK_WAIT_MS = 2_000;
/** Opens yield to established flows while packets wait for longer than this. */
const LONG_QUEUE_MS = 50;

/** @returns a scheduler with an empty queue */
export function createPacketScheduler<Payload>(
  options: SchedulerOptions,
): PacketScheduler<Payload> {
  const rateBytesPerMs = options.rateBytesPerMs * MAX_RATE_FRACTION;
  const maxQueuedBytes = rateBytesPerMs * MAX_QUEUE_MS;
  const shortPackets = createClassQueues<Payload>();
  const bulk = createClassQueues<Payload>();
  const budget = createByteBudget(rateBytesPerMs);
  const sentCopies = createSentCopies();

  return {
    get queuedBytes() {
      return queuedBytes();
    },
    offer,
    release,
    waitMs,
    charge: (bytes, nowMs) => budget.spend(bytes, nowMs),
  };

  function queuedBytes(): number {
    return shortPackets.bytes + bulk.bytes;
  }

  function offer(
    payload: Payload,
    bytes: number,
    label: () => PacketLabel,
    nowMs: number,
  ): OfferResult {
    if (queuedBytes() === 0 && budget.hasCredit(nowMs)) {
      budget.spend(bytes, nowMs);
      return { type: 'send' };
    }
    const { yieldsToEstablished, ...identity } = label();
    const packet: WaitingPacket<Payload> = { payload, bytes, ...identity, sinceMs: nowMs };
    if (bulk.replace(packet) || sentCopies.has(packet, nowMs)) {
      return { type: 'merged' };
    }
    if (shouldDrop(packet)) {
      return { type: 'dropped', reason: 'queue-full' };
    }
    // A short packet stays behind queued packets of its flow: receivers expect them in order.
    if (bytes <= MAX_SHORT_PACKET_BYTES && !bulk.has(packet.flow)) {
      const isLong = queuedBytes() > rateBytesPerMs * LONG_QUEUE_MS;
      shortPackets.add(inShortFlow(packet, isLong && yieldsToEstablished === true));
    } else {
      bulk.add(packet);
    }
    return { type: 'queued' };
  }

  /**
   * A full queue drops packets of the flow with the most queued bytes, so that small flows are kept; at twice the
   * capacity it drops all.
   */
  function shouldDrop({ flow, bytes }: WaitingPacket<Payload>): boolean {
    if (queuedBytes() + bytes <= maxQueuedBytes) {
      return false;
    }
    const isLongest = bulk.bytesOf(flow) + bytes > bulk.maxFlowBytes();
    return isLongest || queuedBytes() + bytes > 2 * maxQueuedBytes;
  }

  function release(nowMs: number): ReleasedPacket<Payload>[] {
    const released: ReleasedPacket<Payload>[] = [];
    while (budget.hasCredit(nowMs)) {
      const short = shortPackets.takeNext(nowMs);
      const packet = short ?? bulk.takeNext(nowMs);
      if (packet === undefined) {
        break;
      }
      const { payload, bytes, sinceMs } = packet;
      const waitedMs = nowMs - sinceMs;
      if (waitedMs > (short === undefined ? MAX_BULK_WAIT_MS : MAX_SHORT_WAIT_MS)) {
        (short === undefined ? bulk : shortPackets).undoTurn();
        released.push({ type: 'dropped', payload, reason: 'too-old' });
      } else {
        budget.spend(bytes, nowMs);
        sentCopies.record(packet, nowMs);
        released.push({ type: 'send', payload, waitedMs });
      }
    }
    return released;
  }

  /** Waits for the credit of a burst, or of the whole queue, so that one timer sends several packets. */
  function waitMs(nowMs: number): number | undefined {
    const bytes = queuedBytes();
    return bytes === 0 ? undefined : budget.waitMs(bytes, nowMs);
  }
}

/**
 * All short packets of a class share one flow: they leave by arrival, or by position where both have one. Once the class of
 * a route changes, later short packets may overtake those that wait in its old class.
 */
function inShortFlow<Payload>(
  packet: WaitingPacket<Payload>,
  isLast: boolean,
): WaitingPacket<Payload> {
  const urgencyClass = (packet.urgencyClass ?? 0) + (isLast ? URGENCY_CLASSES : 0);
  return { ...packet, flow: `${urgencyClass}`, urgencyClass };
}
