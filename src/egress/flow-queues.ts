/**
 * @file Packets that wait for a link, a queue for each flow, taken by deficit round robin (Shreedhar and
 * Varghese, 1995): each flow in turn may send as many bytes as the others, whatever its packets weigh, so
 * that one upload does not hold another.
 */

/** A packet that waits. */
export interface WaitingPacket<Payload> {
  readonly payload: Payload;
  readonly bytes: number;
  /** Names the flow that it belongs to. */
  readonly flow: string;
  /**
   * Names what the packet carries within its flow: a retransmission carries the same. Undefined where each
   * packet is of its own.
   */
  readonly content: string | undefined;
  readonly sinceMs: number;
}

/** Queues by flow. */
export interface FlowQueues<Payload> {
  /** Bytes of all packets that wait. */
  readonly bytes: number;
  /** @returns true where packets of a flow wait */
  has(flow: string): boolean;
  /** @returns the bytes of a flow that wait */
  bytesOf(flow: string): number;
  /** @returns the bytes of the flow that has the most of them waiting */
  mostBytes(): number;
  add(packet: WaitingPacket<Payload>): void;
  /**
   * Puts a packet in the place of one of its flow that carries the same.
   * @returns false where none waits
   */
  replace(packet: WaitingPacket<Payload>): boolean;
  /** @returns the packet whose turn it is, taken out; undefined where none waits */
  takeNext(): WaitingPacket<Payload> | undefined;
}

interface FlowQueue<Payload> {
  readonly packets: WaitingPacket<Payload>[];
  bytes: number;
  /** Bytes that this flow may still send in its turn. */
  deficitBytes: number;
}

/** What a flow may send in one turn, in bytes: a whole packet of Ethernet's size, so that each turn sends one. */
const QUANTUM_BYTES = 1_500;

/** @returns queues without any packet */
export function createFlowQueues<Payload>(): FlowQueues<Payload> {
  // In the order of their turns; the first is the one whose turn it is.
  const queues = new Map<string, FlowQueue<Payload>>();
  let bytes = 0;

  return {
    get bytes() {
      return bytes;
    },
    has: (flow) => queues.has(flow),
    bytesOf: (flow) => queues.get(flow)?.bytes ?? 0,
    mostBytes: () => Math.max(0, ...[...queues.values()].map((queue) => queue.bytes)),
    add,
    replace,
    takeNext,
  };

  function add(packet: WaitingPacket<Payload>): void {
    const queue = queues.get(packet.flow) ?? { packets: [], bytes: 0, deficitBytes: QUANTUM_BYTES };
    queues.set(packet.flow, queue);
    queue.packets.push(packet);
    queue.bytes += packet.bytes;
    bytes += packet.bytes;
  }

  function replace(packet: WaitingPacket<Payload>): boolean {
    const queue = queues.get(packet.flow);
    const at = queue?.packets.findIndex(({ content }) => content === packet.content) ?? -1;
    const before = queue?.packets[at];
    if (queue === undefined || before === undefined || packet.content === undefined) {
      return false;
    }
    queue.packets[at] = packet;
    queue.bytes += packet.bytes - before.bytes;
    bytes += packet.bytes - before.bytes;
    return true;
  }

  function takeNext(): WaitingPacket<Payload> | undefined {
    for (const [flow, queue] of queues) {
      const [packet] = queue.packets;
      if (packet === undefined) {
        queues.delete(flow);
        continue;
      }
      if (packet.bytes > queue.deficitBytes) {
        // Its turn is over; in the next one it may send a quantum more. The loop comes back to it.
        queue.deficitBytes += QUANTUM_BYTES;
        queues.delete(flow);
        queues.set(flow, queue);
        continue;
      }
      take(flow, queue, packet);
      return packet;
    }
    return undefined;
  }

  function take(flow: string, queue: FlowQueue<Payload>, packet: WaitingPacket<Payload>): void {
    queue.packets.shift();
    queue.bytes -= packet.bytes;
    queue.deficitBytes -= packet.bytes;
    bytes -= packet.bytes;
    if (queue.packets.length === 0) {
      queues.delete(flow);
    }
  }
}
