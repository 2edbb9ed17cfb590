/**
 * @file What becomes of an open that no back end may take?
 *
 * - Inputs: the active back ends of its service, the eligible ones among them (outside of evacuated zones), and whether
 *   there may be back ends that are not known yet.
 * - Returns: reset, so that the client learns at once that its flow was not opened, or drop, so that it repeats the open.
 * - Reason: an open that can't be served is refused at once; its client must not wait until its deadline passes. It is
 *   dropped only where a back end may exist that this balancer has not learned of.
 *
 * Lines `reset` and `dropped` with the reasons below; `amberlift_ingress_resets_total`, `..._dropped_packets_total`.
 */
import type { KnownBackend } from '../ingress/known-backend.js';

/** How an open is refused. */
export type OpenRefusal =
  | { readonly type: 'reset'; readonly reason: 'zones-evacuated' | 'all-cold' | 'no-backend' }
  | { readonly type: 'drop'; readonly reason: 'no-backend' };

/** @param mayLearnMore true where there may be back ends that are not known yet */
export function refuseOpen(
  active: readonly KnownBackend[],
  eligible: readonly KnownBackend[],
  mayLearnMore: boolean,
): OpenRefusal {
  if (active.length > 0 && eligible.length === 0) {
    return { type: 'reset', reason: 'zones-evacuated' };
  }
  // Slow start alone keeps a back end that is not dead from being chosen: ejection never leaves none.
  if (eligible.some(({ registration }) => registration.liveness !== 'dead')) {
    return { type: 'reset', reason: 'all-cold' };
  }
  return { type: mayLearnMore ? 'drop' : 'reset', reason: 'no-backend' };
}
