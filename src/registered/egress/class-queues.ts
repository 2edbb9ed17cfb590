/**
 * @file Packet queues by class of urgency, each by `flow-queues.ts`. The most urgent class goes first; every fourth packet
 * is of another class instead, in turn, so that none starves. With one class, the order is that of `flow-queues.ts`.
 */
import { createFlowQueues, type FlowQueues, type WaitingPacket } from './flow-queues.js';

interface ClassQueue<Payload> {
  readonly urgencyClass: number;
  readonly flows: FlowQueues<Payload>;
  /** Number of packets that were taken from all classes, when the last one of this class was. */
  lastTaken: number;
}

/** Less urgent classes keep a quarter of the packets. */
const OTHER_CLASS_INTERVAL = 4;

/** Packet queues by class. */
export interface ClassQueues<Payload> extends FlowQueues<Payload> {
  /** Takes back the turn of the class whose packet was taken last, since that packet is not sent. */
  undoTurn(): void;
}

/** @returns empty queues */
export function createClassQueues<Payload>(): ClassQueues<Payload> {
  const mostUrgent = createClassQueue<Payload>(0);
  /** Most urgent first. */
  let classes: readonly ClassQueue<Payload>[] = [mostUrgent];
  /** Packets taken while several classes were waiting. */
  let contendedCount = 0;
  let takenCount = 0;
  let undoTurn = (): void => undefined;

  return {
    get bytes() {
      return classes.reduce((sum, { flows }) => sum + flows.bytes, 0);
    },
    has: (flow) => classes.some(({ flows }) => flows.has(flow)),
    bytesOf: (flow) => classes.reduce((sum, { flows }) => sum + flows.bytesOf(flow), 0),
    maxFlowBytes: () => Math.max(0, ...classes.map(({ flows }) => flows.maxFlowBytes())),
    add,
    replace: (packet) => classes.some(({ flows }) => flows.replace(packet)),
    takeNext,
    undoTurn: () => undoTurn(),
  };

  /** Packets of one flow stay in one class, so that they keep their order when a route's class changes. */
  function add(packet: WaitingPacket<Payload>): void {
    const holder = classes.find(({ flows }) => flows.has(packet.flow));
    (holder ?? queueOf(packet.urgencyClass ?? 0)).flows.add(packet);
  }

  function queueOf(urgencyClass: number): ClassQueue<Payload> {
    const known = classes.find((queue) => queue.urgencyClass === urgencyClass);
    if (known !== undefined) {
      return known;
    }
    const created = createClassQueue<Payload>(urgencyClass);
    classes = [...classes, created].sort((one, other) => one.urgencyClass - other.urgencyClass);
    return created;
  }

  function takeNext(nowMs: number): WaitingPacket<Payload> | undefined {
    const [first = mostUrgent, ...others] = classes.filter(({ flows }) => flows.bytes > 0);
    const contendedBefore = contendedCount;
    const queue = others.length === 0 ? first : chooseClass(first, others);
    const lastTakenBefore = queue.lastTaken;
    undoTurn = () => {
      contendedCount = contendedBefore;
      queue.lastTaken = lastTakenBefore;
    };
    takenCount += 1;
    queue.lastTaken = takenCount;
    return queue.flows.takeNext(nowMs);
  }

  function chooseClass(
    first: ClassQueue<Payload>,
    others: readonly ClassQueue<Payload>[],
  ): ClassQueue<Payload> {
    contendedCount += 1;
    return contendedCount % OTHER_CLASS_INTERVAL === 0
      ? others.reduce((one, other) => (other.lastTaken < one.lastTaken ? other : one))
      : first;
  }
}

function createClassQueue<Payload>(urgencyClass: number): ClassQueue<Payload> {
  return { urgencyClass, flows: createFlowQueues<Payload>(), lastTaken: 0 };
}
