/**
 * @file From when on does silence make a back end suspect, and from when on dead?
 *
 * Inputs: how long no heartbeat came and the heartbeat interval, both in milliseconds. Returns the liveness. Control
 * machines detect silence, since they get all heartbeats; since when it counts for them is decided in
 * group/backends/liveness-updates.ts. Balancers are sent changes only. A suspect back end gets new flows only where
 * none is alive; a dead one gets none (src/registered/decisions/placement.ts).
 *
 * Reason: a back end that ends without a word is noticed by nothing else for some seconds. On a day with back ends that
 * fell dark, worth was 0.9467 with silence and 0.9279 without, elsewhere it made no difference
 * (docs/design/registered-placement.md). Log line at the balancer: `backend judged`.
 */

/** Heartbeats come; some were missed; or so many that the back end counts as dead. */
export type Liveness = 'alive' | 'suspect' | 'dead';

/** How log lines and metrics name each liveness. */
export const LIVENESS_LABELS = {
  alive: 'heard',
  suspect: 'silent',
  dead: 'dead',
} as const satisfies Record<Liveness, string>;

/** A change of liveness, as balancers are sent it. */
export interface LivenessChange {
  readonly backendId: string;
  readonly liveness: Liveness;
  /** How long no heartbeat had come when the change was detected, in milliseconds. */
  readonly silentMs: number;
}

/**
 * A back end is suspect after so many heartbeat intervals: two heartbeats are missed, and the third is half an interval
 * late. Not measured; too few would show as `backend judged` lines that are taken back with the next heartbeat.
 */
const SUSPECT_AFTER_INTERVALS = 2.5;
/**
 * ... and dead after so many. Not measured; too few would show as established flows that are reset while their back end
 * is cut off from control alone (src/registered/decisions/dead-flow.ts), too many as flows that fail for longer.
 */
const DEAD_AFTER_INTERVALS = 6;

/**
 * @param silentMs how long no heartbeat came
 * @param heartbeatIntervalMs time between two heartbeats of a back end
 */
export function livenessOf(silentMs: number, heartbeatIntervalMs: number): Liveness {
  const intervals = silentMs / heartbeatIntervalMs;
  if (intervals <= SUSPECT_AFTER_INTERVALS) {
    return 'alive';
  }
  return intervals <= DEAD_AFTER_INTERVALS ? 'suspect' : 'dead';
}
