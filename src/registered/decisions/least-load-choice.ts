/** @file Chooses the back end with the least load (`policy.choice=least-load`), regardless of speed. */
import type { KnownBackend } from '../ingress/known-backend.js';

/**
 * @param flowHash chooses among candidates with equal load
 * @param loadOf requests in progress per slot
 * @returns undefined if there are no candidates
 */
export function leastLoaded(
  candidates: readonly KnownBackend[],
  flowHash: number,
  loadOf: (backend: KnownBackend) => number,
): KnownBackend | undefined {
  const { length } = candidates;
  let best: KnownBackend | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  for (let index = 0; index < length; index += 1) {
    const candidate = candidates[(flowHash + index) % length];
    const load = candidate === undefined ? bestLoad : loadOf(candidate);
    if (load < bestLoad) {
      best = candidate;
      bestLoad = load;
    }
  }
  return best;
}
