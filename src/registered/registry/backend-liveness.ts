/**
 * @file What the silence of a back end says of it. Control machines, which get the heartbeats, judge; the
 * balancers are told only when a judgement changes.
 */

/** Heartbeats come, some were missed, or so many that the back end counts as dead. */
export type Liveness = 'alive' | 'suspect' | 'dead';

/** How log lines and metrics name each liveness. */
export const LIVENESS_LABELS = {
  alive: 'heard',
  suspect: 'silent',
  dead: 'dead',
} as const satisfies Record<Liveness, string>;

/** A judgement that is told to balancers. */
export interface LivenessChange {
  readonly backendId: string;
  readonly liveness: Liveness;
  /** How long nothing had been heard of the back end when it was judged, in milliseconds. */
  readonly silentMs: number;
}

/** A back end silent for more than so many heartbeat intervals is used only where no other is. */
const SUSPECT_AFTER_INTERVALS = 2.5;
/** ... and beyond this it counts as dead. */
const DEAD_AFTER_INTERVALS = 6;

/**
 * @param silentMs how long nothing was heard of a back end
 * @param heartbeatIntervalMs time between two of its heartbeats
 * @returns how it is judged
 */
export function livenessOf(silentMs: number, heartbeatIntervalMs: number): Liveness {
  const intervals = silentMs / heartbeatIntervalMs;
  if (intervals <= SUSPECT_AFTER_INTERVALS) {
    return 'alive';
  }
  return intervals <= DEAD_AFTER_INTERVALS ? 'suspect' : 'dead';
}
