/**
 * @file Counts what a process sends and receives for the control plane, by kind of message.
 */

/** Messages of one kind and their bytes. */
interface TrafficCount {
  messages: number;
  bytes: number;
}

/** Direction of a message. */
export type TrafficDirection = 'sent' | 'received';

/** Counts by direction and kind. */
export interface Traffic {
  readonly sent: Map<string, TrafficCount>;
  readonly received: Map<string, TrafficCount>;
}

/**
 * @returns counts of nothing
 */
export function createTraffic(): Traffic {
  return { sent: new Map(), received: new Map() };
}

/**
 * Counts one message.
 * @param bytes its length without the headers of TCP, UDP and IP
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
