/**
 * @file Per-flow queues with least-attained-service scheduling (Nuyens and Wierman, 2008): the flow with the fewest
 * bytes sent goes next, so that short requests finish before long uploads. Every fourth packet is the oldest one
 * instead, so that no flow starves. Within a flow, packets leave in stream order, since data after a
 * gap is not acknowledged and gets retransmitted.
 */

/** A queued packet. */
export interface WaitingPacket<Payload> {
  readonly payload: Payload;
  readonly bytes: number;
  /** Key of the flow. */
  readonly flow: string;
  /** Identifies the content within the flow, equal for retransmissions; undefined if they can't be recognized. */
  readonly content: string | undefined;
  /** 32-bit position in the stream of the flow; undefined to append the packet. */
  readonly position?: number | undefined;
  /** 0 or undefined is the most urgent. */
  readonly urgencyClass?: number | undefined;
  readonly sinceMs: number;
}

/** Packet queues by flow. */
export interface FlowQueues<Payload> {
  /** Queued bytes of all flows. */
  readonly bytes: number;
  /** @returns true if packets of a flow are queued */
  has(flow: string): boolean;
  /** @returns the queued bytes of a flow */
  bytesOf(flow: string): number;
  /** @returns the queued bytes of the flow with the most queued bytes */
  maxFlowBytes(): number;
  add(packet: WaitingPacket<Payload>): void;
  /**
   * Replaces a queued packet of the same flow and content.
   * @returns false if there is none
   */
  replace(packet: WaitingPacket<Payload>): boolean;
  /** Removes the next packet. @returns it; undefined if the queues are empty */
  takeNext(nowMs: number): WaitingPacket<Payload> | undefined;
}

interface FlowQueue<Payload> {
  readonly packets: WaitingPacket<Payload>[];
  /** Arrival numbers of the packets, or of the first copies that they replaced; ascending. */
  readonly arrivals: number[];
  bytes: number;
}

/** Every fourth packet is the oldest one, so that long uploads keep a quarter of the link. */
const OLDEST_FIRST_INTERVAL = 4;
/**
 * A flow that was idle for longer counts as new: it carries another request, since senders retransmit within 1.6 s.
 * Otherwise long-lived connections would always come last.
 */
const IDLE_RESET_MS = 2_000;
/** Bounds the memory; the flow that was served longest ago is evicted. */
const MAX_SERVED_FLOWS = 1_000;

/** @returns empty queues */
export function createFlowQueues<Payload>(): FlowQueues<Payload> {
  const queues = new Map<string, FlowQueue<Payload>>();
  const served = createServedBytes();
  let arrivalCount = 0;
  let takenCount = 0;
  let bytes = 0;

  return {
    get bytes() {
      return bytes;
    },
    has: (flow) => queues.has(flow),
    bytesOf: (flow) => queues.get(flow)?.bytes ?? 0,
    maxFlowBytes: () => Math.max(0, ...[...queues.values()].map((queue) => queue.bytes)),
    add,
    replace,
    takeNext,
  };

  function add(packet: WaitingPacket<Payload>): void {
    const queue = queues.get(packet.flow) ?? { packets: [], arrivals: [], bytes: 0 };
    queues.set(packet.flow, queue);
    arrivalCount += 1;
    queue.packets.splice(insertionIndexOf(packet, queue.packets), 0, packet);
    queue.arrivals.push(arrivalCount);
    queue.bytes += packet.bytes;
    bytes += packet.bytes;
  }

  function replace(packet: WaitingPacket<Payload>): boolean {
    const queue = queues.get(packet.flow);
    const index = queue?.packets.findIndex(({ content }) => content === packet.content) ?? -1;
    const previous = queue?.packets[index];
    if (queue === undefined || previous === undefined || packet.content === undefined) {
      return false;
    }
    queue.packets[index] = packet;
    queue.bytes += packet.bytes - previous.bytes;
    bytes += packet.bytes - previous.bytes;
    return true;
  }

  function takeNext(nowMs: number): WaitingPacket<Payload> | undefined {
    takenCount += 1;
    const flow = takenCount % OLDEST_FIRST_INTERVAL === 0 ? oldestFlow() : leastServedFlow(nowMs);
    return flow === undefined ? undefined : takeFrom(flow, nowMs);
  }

  function oldestFlow(): string | undefined {
    return flowWithMinimum((_flow, { arrivals }) => arrivals[0] ?? Number.POSITIVE_INFINITY);
  }

  function leastServedFlow(nowMs: number): string | undefined {
    return flowWithMinimum((flow) => served.bytesOf(flow, nowMs));
  }

  function flowWithMinimum(
    valueOf: (flow: string, queue: FlowQueue<Payload>) => number,
  ): string | undefined {
    let minFlow: string | undefined;
    let minimum = Number.POSITIVE_INFINITY;
    for (const [flow, queue] of queues) {
      const value = valueOf(flow, queue);
      if (value < minimum) {
        minFlow = flow;
        minimum = value;
      }
    }
    return minFlow;
  }

  function takeFrom(flow: string, nowMs: number): WaitingPacket<Payload> | undefined {
    const queue = queues.get(flow);
    const packet = queue?.packets.shift();
    if (queue === undefined || packet === undefined) {
      return undefined;
    }
    queue.arrivals.shift();
    queue.bytes -= packet.bytes;
    bytes -= packet.bytes;
    served.record(flow, packet.bytes, nowMs);
    if (queue.packets.length === 0) {
      queues.delete(flow);
    }
    return packet;
  }
}

/** @returns the index before all packets of the flow with a later position */
function insertionIndexOf<Payload>(
  { position }: WaitingPacket<Payload>,
  packets: readonly WaitingPacket<Payload>[],
): number {
  let index = packets.length;
  while (index > 0 && isBefore(position, packets[index - 1]?.position)) {
    index -= 1;
  }
  return index;
}

function isBefore(one: number | undefined, other: number | undefined): boolean {
  return one !== undefined && other !== undefined && ((one - other) | 0) < 0;
}

/** Bytes recently sent by flow, for flows that were queued. */
interface ServedBytes {
  bytesOf(flow: string, nowMs: number): number;
  record(flow: string, bytes: number, nowMs: number): void;
}

interface ServedEntry {
  readonly bytes: number;
  readonly atMs: number;
}

function createServedBytes(): ServedBytes {
  // Ordered by the time of the last service, oldest first.
  const byFlow = new Map<string, ServedEntry>();

  return { bytesOf, record };

  function bytesOf(flow: string, nowMs: number): number {
    const served = byFlow.get(flow);
    return served === undefined || nowMs - served.atMs > IDLE_RESET_MS ? 0 : served.bytes;
  }

  function record(flow: string, bytes: number, nowMs: number): void {
    const total = bytesOf(flow, nowMs) + bytes;
    byFlow.delete(flow);
    byFlow.set(flow, { bytes: total, atMs: nowMs });
    const [oldest] = byFlow.keys();
    if (byFlow.size > MAX_SERVED_FLOWS && oldest !== undefined) {
      byFlow.delete(oldest);
    }
  }
}
