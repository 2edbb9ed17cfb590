/**
 * @file When does a packet leave towards a link of known rate, and when is it dropped?
 *
 * Inputs: the rate of the link in bytes a millisecond, the size of each packet in bytes, its flow and place in the stream,
 * and the time. Returns at once whether a packet leaves, waits, is merged with a copy, or is dropped; and on each
 * timer those whose time has come.
 *
 * A network card or a router drops what comes faster than the link carries, and each loss costs the sender a
 * retransmission timer of 200 ms and more. So what exceeds the rate waits here: short packets first (opens,
 * acknowledgements), since others wait for them, then by `flow-queues.ts`. `byte-budget.ts` gives the rate; what other
 * sockets of the process send is charged to it. `sent-copies.ts` holds back what the receiver has already.
 *
 * Design and measurements: docs/design/links.md.
 */
import { createByteBudget } from './byte-budget.js';
import { createFlowQueues, type WaitingPacket } from './flow-queues.js';
import { createSentCopies } from './sent-copies.js';

/** Options of a scheduler. */
export interface SchedulerOptions {
  /** What the link carries, in bytes a millisecond. */
  readonly rateBytesPerMs: number;
}

/** What the scheduler must know of a packet that has to wait. */
export interface PacketLabel {
  /** Names the flow; packets of one flow keep their order. */
  readonly flow: string;
  /** Names what the packet carries within its flow; undefined where a retransmission can't be recognized. */
  readonly content: string | undefined;
  /** Where the packet stands in the stream of its flow, 32 bits; undefined for behind what waits. */
  readonly position?: number | undefined;
}

/** Why a packet was not sent; a reason of the line and the metric of dropped packets. */
export type SchedulerDrop =
  /** The queue was full, and the flow of the packet had the most packets in it. */
  | 'queue-full'
  /** It waited for so long that its sender has sent it again, or given it up. */
  | 'too-old';

/** What becomes of a packet that is offered. */
export type Offered =
  | { readonly type: 'send' }
  | { readonly type: 'queued' }
  /** It took the place of a copy that still waited, or a copy has just left. */
  | { readonly type: 'merged' }
  | { readonly type: 'dropped'; readonly reason: SchedulerDrop };

/** A packet that leaves the queue. */
export type Released<Payload> =
  | { readonly type: 'send'; readonly payload: Payload; readonly waitedMs: number }
  | { readonly type: 'dropped'; readonly payload: Payload; readonly reason: SchedulerDrop };

/** The packets that wait for one link. */
export interface PacketScheduler<Payload> {
  /** Bytes that wait. */
  readonly queuedBytes: number;
  /**
   * Sends, queues, merges or drops a packet.
   * @param label called only where the packet has to wait
   */
  offer(payload: Payload, bytes: number, label: () => PacketLabel, nowMs: number): Offered;
  /** @returns the packets whose time has come, in order */
  release(nowMs: number): Released<Payload>[];
  /** @returns time until the next packet may leave, in milliseconds; undefined where none waits */
  waitMs(nowMs: number): number | undefined;
  /** Counts bytes that went over the link by another way. */
  charge(bytes: number, nowMs: number): void;
}

/** Share of the link's rate that is used: packet heads that the kernel adds take some 3 % of a full packet. The rest of
 * the 5 % is not measured; losses behind the link would show it too large.
 */
const RATE_SHARE = 0.95;
/**
 * Packets up to this size go before bulk, in bytes: opens, acknowledgements, short requests. Not measured; bulk that gets
 * `too-old` while short packets never wait would show it too large.
 */
const SHORT_BYTES = 300;
/**
 * What may wait, as the time that the link needs for it, in milliseconds. A flow has 16 packets under way, 110 ms at 1.5 megabits a
 * second, so this holds the windows of 18 flows at once; each packet that is dropped costs its sender a timer that
 * doubles up to 1.6 s.
 */
const MAX_QUEUE_MS = 2_000;
/** A short packet that waited for longer is of no use, in milliseconds: its sender repeats it after 200 and 600 ms. */
const MAX_SHORT_WAIT_MS = 400;
/**
 * Data that waited for longer is not wanted any more, in milliseconds: a sender that still wants it repeats it within 1.6 s, and the copy
 * takes the place of what waits.
 */
const MAX_BULK_WAIT_MS = 2_000;
/** The flow of all packets that go before bulk. */
const SHORT_FLOW = '';

/** @returns a scheduler with an empty queue */
export function createPacketScheduler<Payload>(
  options: SchedulerOptions,
): PacketScheduler<Payload> {
  const rateBytesPerMs = options.rateBytesPerMs * RATE_SHARE;
  const maxQueuedBytes = rateBytesPerMs * MAX_QUEUE_MS;
  const shortPackets = createFlowQueues<Payload>();
  const bulk = createFlowQueues<Payload>();
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
  ): Offered {
    if (queuedBytes() === 0 && budget.isOpen(nowMs)) {
      budget.spend(bytes, nowMs);
      return { type: 'send' };
    }
    const packet: WaitingPacket<Payload> = { payload, bytes, ...label(), sinceMs: nowMs };
    const { flow } = packet;
    if (bulk.replace(packet) || sentCopies.has(packet, nowMs)) {
      return { type: 'merged' };
    }
    if (isFull(packet)) {
      return { type: 'dropped', reason: 'queue-full' };
    }
    // A short packet stays behind those of its flow that wait: receivers expect them in order.
    if (bytes <= SHORT_BYTES && !bulk.has(flow)) {
      shortPackets.add({ ...packet, flow: SHORT_FLOW });
    } else {
      bulk.add(packet);
    }
    return { type: 'queued' };
  }

  /**
   * The last packet of the flow with the longest queue goes, so that flows with little keep what they have.
   * What stands further ahead is older, but the receiver can use it without the rest.
   */
  function isFull({ flow, bytes }: WaitingPacket<Payload>): boolean {
    if (queuedBytes() + bytes <= maxQueuedBytes) {
      return false;
    }
    const isLongest = bulk.bytesOf(flow) + bytes > bulk.mostBytes();
    return isLongest || queuedBytes() + bytes > 2 * maxQueuedBytes;
  }

  function release(nowMs: number): Released<Payload>[] {
    const released: Released<Payload>[] = [];
    while (budget.isOpen(nowMs)) {
      const short = shortPackets.takeNext(nowMs);
      const packet = short ?? bulk.takeNext(nowMs);
      if (packet === undefined) {
        break;
      }
      const { payload, bytes, sinceMs } = packet;
      const waitedMs = nowMs - sinceMs;
      if (waitedMs > (short === undefined ? MAX_BULK_WAIT_MS : MAX_SHORT_WAIT_MS)) {
        released.push({ type: 'dropped', payload, reason: 'too-old' });
      } else {
        budget.spend(bytes, nowMs);
        sentCopies.record(packet, nowMs);
        released.push({ type: 'send', payload, waitedMs });
      }
    }
    return released;
  }

  /** Until a burst may leave, or all that waits: one timer then sends several packets. */
  function waitMs(nowMs: number): number | undefined {
    const bytes = queuedBytes();
    return bytes === 0 ? undefined : budget.waitMs(bytes, nowMs);
  }
}
