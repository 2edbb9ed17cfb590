/**
 * @file Slow start: a back end that has just become ready takes a small share of new flows, which
 * grows evenly to a full one.
 */

/** How long slow start lasts, in milliseconds. */
const SLOW_START_MS = 10_000;
/** The share at its beginning. */
const SLOW_START_MIN_WEIGHT = 0.1;

/**
 * @param slowStartAtMs when it began; undefined where the back end is warm
 * @returns the share of new flows against a warm back end, over 0 and up to 1
 */
export function slowStartWeight(slowStartAtMs: number | undefined, nowMs: number): number {
  if (slowStartAtMs === undefined) {
    return 1;
  }
  const progress = (nowMs - slowStartAtMs) / SLOW_START_MS;
  return Math.min(1, Math.max(SLOW_START_MIN_WEIGHT, progress));
}
