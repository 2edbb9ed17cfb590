/**
 * @file The heartbeats that wait to be sent to the other control machines, and since when this machine gets all
 * heartbeats. Both are soft state, lost with the process.
 */
import type { AgedRecord } from '../group-messages.js';

/** Heartbeats on their way through a control machine. */
export interface HeartbeatExchange {
  /**
   * Since when silence of a back end counts, in milliseconds; undefined while this machine is not current, since it
   * may miss heartbeats then.
   */
  readonly listeningSinceMs: number | undefined;
  startListening(sinceMs: number): void;
  stopListening(): void;
  /** Lets a heartbeat that came in here wait for the next tick. */
  addToShare(aged: AgedRecord): void;
  /** Removes and returns the heartbeats that wait. */
  takeToShare(): readonly AgedRecord[];
}

/** @returns an exchange through which nothing has come yet */
export function createHeartbeatExchange(): HeartbeatExchange {
  let listeningSinceMs: number | undefined;
  let toShare: AgedRecord[] = [];

  return {
    get listeningSinceMs() {
      return listeningSinceMs;
    },
    startListening: (sinceMs) => {
      listeningSinceMs = sinceMs;
    },
    stopListening: () => {
      listeningSinceMs = undefined;
    },
    addToShare: (aged) => void toShare.push(aged),
    takeToShare,
  };

  function takeToShare(): readonly AgedRecord[] {
    const taken = toShare;
    toShare = [];
    return taken;
  }
}
