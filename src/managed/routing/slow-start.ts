/**
 * @file What share of new flows does a back end get that has just become ready? A tenth at first, growing evenly to a
 * full share over ten seconds, so that a cold process isn't filled at once.
 *
 * Inputs: when slow start began and the time of the step, in milliseconds; undefined for a back end that was already
 * warm when it was first seen. Returns a weight over 0 and up to 1; the adaptive policy divides recent opens by it,
 * and `zone-rotation.ts` multiplies the capacity of a zone's back ends by it.
 */

/**
 * How long slow start lasts, in milliseconds. Not measured by itself; with it two cold joins in a tenfold surge kept
 * peak over mean connections at 1.065 (docs/design/placement.md). Too short if cold back ends time out or refuse
 * opens.
 */
const SLOW_START_MS = 10_000;
/** The share at its beginning. Not measured; too high if the first seconds of a cold back end show refusals. */
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
