/**
 * @file Slow start: ramps up the share of new flows of a back end that has just become ready, so that a cold process
 * is not overloaded.
 */

const SLOW_START_MS = 10_000;
const SLOW_START_MIN_WEIGHT = 0.1;

/**
 * @param slowStartAtMs start of slow start; undefined for a back end that was warm when first seen
 * @returns share of new flows relative to a warm back end; grows linearly from the minimum weight to 1
 */
export function slowStartWeight(slowStartAtMs: number | undefined, nowMs: number): number {
  if (slowStartAtMs === undefined) {
    return 1;
  }
  const progress = (nowMs - slowStartAtMs) / SLOW_START_MS;
  return Math.min(1, Math.max(SLOW_START_MIN_WEIGHT, progress));
}
