/**
 * @file Decides how an open without a back end is refused: reset, so that its client fails at once, or
 * dropped, so that its client retries, if there may be back ends that this balancer does not know yet.
 */
import type { KnownBackend } from '../ingress/known-backend.js';

/** How an open is refused, with the reason for logs and metrics. */
export type OpenRefusal =
  | { readonly type: 'reset'; readonly reason: 'zones-evacuated' | 'all-cold' | 'no-backend' }
  | { readonly type: 'drop'; readonly reason: 'no-backend' };

/**
 * @param active active back ends of the service
 * @param eligible the active ones outside of evacuated zones
 * @param mayLearnMore true if there may be back ends that are not known yet
 */
export function refuseOpen(
  active: readonly KnownBackend[],
  eligible: readonly KnownBackend[],
  mayLearnMore: boolean,
): OpenRefusal {
  if (active.length > 0 && eligible.length === 0) {
    return { type: 'reset', reason: 'zones-evacuated' };
  }
  // Only slow start excludes every back end that is not dead; ejection always leaves some.
  if (eligible.some(({ registration }) => registration.liveness !== 'dead')) {
    return { type: 'reset', reason: 'all-cold' };
  }
  return { type: mayLearnMore ? 'drop' : 'reset', reason: 'no-backend' };
}
