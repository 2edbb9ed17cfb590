/**
 * @file Tracks the current start of each back end; other starts count as dead. A later start takes over with its first
 * heartbeat. An earlier one may be a delayed heartbeat or a clock that was set back, so it has to keep sending while the
 * later one is silent (name-holders.ts).
 */
import { isLaterStart, startOf } from './backend-start.js';
import { createNameHolders } from './name-holders.js';

/** The current start of each back end. */
export interface CurrentStarts {
  /** Records a heartbeat of a start. */
  recordHeartbeat(id: string, receivedAtMs: number): void;
  /** Records a start that is known from the replicated list only. */
  recordListed(id: string): void;
  /** @returns true if another start of the same back end is current */
  isSuperseded(id: string): boolean;
  /** @returns the ID of the current start of a back end */
  currentOf(backend: string): string | undefined;
  /** Removes a start; if it was current, its back end has no current start. */
  remove(id: string): void;
}

/** @param heartbeatIntervalMs time between two heartbeats of a back end */
export function createCurrentStarts(heartbeatIntervalMs: number): CurrentStarts {
  const isLater = (one: string, other: string) => isLaterStart(startOf(one), startOf(other));
  const holders = createNameHolders(heartbeatIntervalMs, {
    takesOverOnFirstHeartbeat: isLater,
    listedTakesOver: isLater,
  });
  const backendOf = (id: string) => startOf(id).backend;

  return {
    recordHeartbeat: (id, atMs) => holders.recordHeartbeat(id, backendOf(id), atMs),
    recordListed: (id) => holders.recordListed(id, backendOf(id)),
    isSuperseded: (id) => holders.isSuperseded(id),
    currentOf: (backend) => holders.holderOf(backend),
    remove: (id) => holders.remove(id, backendOf(id)),
  };
}
