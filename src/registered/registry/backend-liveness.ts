/**
 * @file Failure detection by missed heartbeats. Control machines compute the liveness and send balancers its changes.
 * A suspect back end gets new flows only if none is alive, a dead one gets none.
 */

/** Liveness of a back end: `suspect` after some missed heartbeats, `dead` after more. */
export type Liveness = 'alive' | 'suspect' | 'dead';

/** Names of the liveness states in log lines and metrics. */
export const LIVENESS_LABELS = {
  alive: 'heard',
  suspect: 'silent',
  dead: 'dead',
} as const satisfies Record<Liveness, string>;

/** A change of liveness, as sent to balancers. */
export interface LivenessChange {
  readonly backendId: string;
  readonly liveness: Liveness;
  /** Time since the last heartbeat when the change was detected, in milliseconds. */
  readonly silentMs: number;
}

/** Two missed heartbeats and half an interval for jitter. */
const SUSPECT_AFTER_INTERVALS = 2.5;
/**
 * Well above the suspect limit: established flows of a dead back end may be reset (decisions/dead-flow.ts), though it may only be
 * cut off from control machines. Higher, flows of dead back ends fail for longer.
 */
const DEAD_AFTER_INTERVALS = 6;

/** One heartbeat and a quarter of an interval for jitter. */
const OVERDUE_AFTER_INTERVALS = 1.25;

/** @returns true if a heartbeat is missing; too weak to suspect a back end without other evidence */
export function isHeartbeatOverdue(silentMs: number, heartbeatIntervalMs: number): boolean {
  return silentMs > OVERDUE_AFTER_INTERVALS * heartbeatIntervalMs;
}

/**
 * @param silentMs time since the last heartbeat
 * @param heartbeatIntervalMs time between two heartbeats of a back end
 */
export function livenessOf(silentMs: number, heartbeatIntervalMs: number): Liveness {
  const intervals = silentMs / heartbeatIntervalMs;
  if (intervals <= SUSPECT_AFTER_INTERVALS) {
    return 'alive';
  }
  return intervals <= DEAD_AFTER_INTERVALS ? 'suspect' : 'dead';
}
