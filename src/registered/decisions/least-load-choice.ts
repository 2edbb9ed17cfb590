/**
 * @file Which back end has the least load? The choice where `policy.choice` is `least-load`.
 *
 * - Inputs: candidates of one service, the load of each for each slot, the hash of the flow.
 * - Returns: the first with the least load, from a place on that the hash gives; undefined where there is no candidate.
 * - Reason: the hash spreads equal choices. It takes no account of speed; `speed-draw` gives the figures of both.
 */
import type { KnownBackend } from '../ingress/known-backend.js';

/** @param loadOf requests in progress for each slot */
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
