/**
 * @file Which back ends hang, by their load?
 *
 * - Inputs: requests in progress at each candidate over all balancers, for each slot.
 * - Returns: the candidates without those that carry far more than the others. Nothing is remembered.
 * - Reason: a back end that crashed without a word, or hangs while its heartbeats and its health are good, gets requests
 *   and answers none, so what is in progress there grows within a second; heartbeats show it after three, if ever. What
 *   hangs there is counted for some seconds at most, so a back end that works again gets new flows again by itself.
 * - Measured as a whole: with 84 back ends of which a seventh hung, crashed or lied in turn, opens that came late or
 *   failed fell from 539 to 269 of 11,571, and no kind of fault got worse.
 *
 * Setting `policy.outliers`; `amberlift_ingress_backend_requests` shows what it goes by. It writes no line of its own.
 */
import { busyInFleet, slotsOf, type KnownBackend } from '../../ingress/known-backend.js';
import { MAX_SHARE_BY_LOAD } from './caps.js';

/**
 * Requests in progress for each slot below which no back end is ejected: its slots and a queue may hold as many. Not
 * measured by itself; too low if healthy back ends with short queues are ejected, too high if hanging ones get opens.
 */
const LEAST_PER_SLOT = 3;
/**
 * A back end is ejected from so many times the mean of the others on. Not measured by itself; too low if slow back ends
 * are ejected in place of being drawn less often, too high if hanging ones get opens while their service is busy.
 */
const TIMES_MEAN = 4;

/**
 * @param candidates back ends of one service
 * @returns those that don't stand out, in the same order; where the cap binds, those with most load are left out
 */
export function withoutEjectedByLoad(candidates: readonly KnownBackend[]): readonly KnownBackend[] {
  if (candidates.every((backend) => perSlot(backend) < LEAST_PER_SLOT)) {
    return candidates;
  }
  const byLoad = [...candidates].sort((one, other) => perSlot(other) - perSlot(one));
  const maxEjected = Math.floor(candidates.length * MAX_SHARE_BY_LOAD);
  const rest = byLoad.slice(maxEjected);
  const meanOfRest = rest.reduce((sum, backend) => sum + perSlot(backend), 0) / rest.length;
  const bound = Math.max(LEAST_PER_SLOT, TIMES_MEAN * meanOfRest);
  const ejected = new Set(
    byLoad.slice(0, maxEjected).filter((backend) => perSlot(backend) >= bound),
  );
  return ejected.size === 0 ? candidates : candidates.filter((backend) => !ejected.has(backend));
}

function perSlot(backend: KnownBackend): number {
  return busyInFleet(backend) / slotsOf(backend);
}
