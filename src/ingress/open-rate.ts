/**
 * @file How many opens a second this balancer places: an average that forgets, over the last seconds.
 */

/** Counts opens. */
export interface OpenRate {
  note(nowMs: number): void;
  /** @returns opens a second */
  perSecond(nowMs: number): number;
}

/** After this time an open counts a third as much. */
const MEMORY_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** @returns the rate of a balancer that has placed nothing yet */
export function createOpenRate(): OpenRate {
  let weight = 0;
  let atMs = 0;

  return {
    note: (nowMs) => {
      weight = decayed(nowMs) + 1;
      atMs = nowMs;
    },
    perSecond: (nowMs) => (decayed(nowMs) * MS_PER_SECOND) / MEMORY_MS,
  };

  function decayed(nowMs: number): number {
    return weight * Math.exp((atMs - nowMs) / MEMORY_MS);
  }
}
