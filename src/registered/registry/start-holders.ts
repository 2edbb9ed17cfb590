/**
 * @file Which start of a back end is the current one?
 *
 * Inputs: the heartbeats of each start with their times, and the replicated list; times in milliseconds. Returns the
 * current start of a back end, and whether a start is superseded by another one of the same back end; a superseded one
 * counts as dead, and its heartbeats are not acknowledged.
 *
 * - A start that began later is current with its first heartbeat: the process before it is over.
 * - One that began earlier is a heartbeat that the network held up, or a back end whose clock was put back before it
 *   started again. So it is current only once its heartbeats go on while the other's do not (holders.ts): some two
 *   intervals after its first one. In doubt the later start keeps its flows, since held-up heartbeats come with every cut
 *   and clocks are rarely put back.
 *
 * Tests: test/registered/registry/start-holders, test/registered/ingress/restarted-backend. Log line: `backend
 * registered` with `follows`; calls `heartbeat unavailable` in `amberlift_group_calls_total`.
 */
import { isLaterStart, startOf } from './backend-start.js';
import { createHolders } from './holders.js';

/** Which start of each back end is current. */
export interface StartHolders {
  /** Records a heartbeat of a start. */
  recordHeartbeat(id: string, receivedAtMs: number): void;
  /** Records a start of the replicated list. */
  recordListed(id: string): void;
  /** @returns true where another start of the same back end is current */
  isSuperseded(id: string): boolean;
  /** @returns the ID of the current start of a back end */
  currentOf(backend: string): string | undefined;
  /** A start is forgotten. */
  remove(id: string): void;
}

/** @param heartbeatIntervalMs time between two heartbeats of a back end */
export function createStartHolders(heartbeatIntervalMs: number): StartHolders {
  const isLater = (one: string, other: string) => isLaterStart(startOf(one), startOf(other));
  const holders = createHolders(heartbeatIntervalMs, {
    takesAtOnce: isLater,
    listedTakesAtOnce: isLater,
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
