/**
 * @file Queue of heartbeats for the other control machines, and the time since which this machine receives all
 * heartbeats. Soft state, lost on restart.
 */
import type { AgedRecord } from '../group-messages.js';
import { createPeerContact, type PeerContact } from './peer-contact.js';

/** Exchange of heartbeats with the other control machines. */
export interface HeartbeatExchange {
  /**
   * Time in milliseconds since which silence of a back end counts; undefined while this machine is not current and may
   * miss heartbeats.
   */
  readonly listeningSinceMs: number | undefined;
  /** Time of the last message of another control machine, in milliseconds; `-Infinity` before the first. */
  readonly lastPeerMessageAtMs: number;
  /** Contact with each of the other control machines. */
  readonly contact: PeerContact;
  recordPeerMessage(nowMs: number): void;
  startListening(sinceMs: number): void;
  stopListening(): void;
  /** Queues a heartbeat until the next tick. */
  enqueue(aged: AgedRecord): void;
  /** Removes and returns the queued heartbeats. */
  takeQueued(): readonly AgedRecord[];
}

/** @returns an exchange with an empty queue */
export function createHeartbeatExchange(heartbeatIntervalMs: number): HeartbeatExchange {
  let listeningSinceMs: number | undefined;
  let lastPeerMessageAtMs = Number.NEGATIVE_INFINITY;
  let queue: AgedRecord[] = [];

  return {
    contact: createPeerContact(heartbeatIntervalMs),
    get lastPeerMessageAtMs() {
      return lastPeerMessageAtMs;
    },
    recordPeerMessage: (nowMs) => {
      lastPeerMessageAtMs = nowMs;
    },
    get listeningSinceMs() {
      return listeningSinceMs;
    },
    startListening: (sinceMs) => {
      listeningSinceMs = sinceMs;
    },
    stopListening: () => {
      listeningSinceMs = undefined;
    },
    enqueue: (aged) => void queue.push(aged),
    takeQueued,
  };

  function takeQueued(): readonly AgedRecord[] {
    const taken = queue;
    queue = [];
    return taken;
  }
}
