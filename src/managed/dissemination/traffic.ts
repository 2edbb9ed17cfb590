/**
 * @file Counts the control-plane messages and bytes that a process sends and receives, by kind of message.
 */

/** Number and total bytes of the messages of one kind. */
interface TrafficCount {
  messages: number;
  bytes: number;
}

/** Direction of a message, seen from this process. */
export type TrafficDirection = 'sent' | 'received';

/** Counts by direction and kind of message. */
export interface Traffic {
  readonly sent: Map<string, TrafficCount>;
  readonly received: Map<string, TrafficCount>;
}

/**
 * @returns empty counts
 */
export function createTraffic(): Traffic {
  return { sent: new Map(), received: new Map() };
}

/**
 * Counts one message.
 * @param bytes its size without TCP, UDP and IP headers
 */
export function countTraffic(
  traffic: Traffic,
  direction: TrafficDirection,
  kind: string,
  bytes: number,
): void {
  const counts = traffic[direction];
  const count = counts.get(kind) ?? { messages: 0, bytes: 0 };
  count.messages += 1;
  count.bytes += bytes;
  counts.set(kind, count);
}
