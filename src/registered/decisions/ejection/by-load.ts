/**
 * @file Ejects back ends with far more requests in progress per slot than the others of their service. It
 * catches those that hang while their heartbeats and health checks still succeed: their requests pile up within a second, where
 * missed heartbeats take three. Nothing is remembered between calls; a request without an answer counts for some seconds only,
 * so a back end that works again gets flows again.
 */
import { busyInFleet, slotsOf, type KnownBackend } from '../../ingress/known-backend.js';
import { MAX_EJECTED_SHARE_BY_LOAD } from './caps.js';

/** Below this load no back end is ejected: healthy ones may hold as many, running and queued. */
const MIN_REQUESTS_PER_SLOT = 3;
/** Threshold as a multiple of the mean load of the others; merely slow back ends stay below it. */
const MEAN_LOAD_FACTOR = 4;

/**
 * @param candidates back ends of one service
 * @returns those that are not ejected, in the same order; at the cap, the ones with the highest load are
 * ejected
 */
export function withoutEjectedByLoad(candidates: readonly KnownBackend[]): readonly KnownBackend[] {
  if (candidates.every((backend) => requestsPerSlot(backend) < MIN_REQUESTS_PER_SLOT)) {
    return candidates;
  }
  const byLoad = [...candidates].sort(
    (one, other) => requestsPerSlot(other) - requestsPerSlot(one),
  );
  const maxEjected = Math.floor(candidates.length * MAX_EJECTED_SHARE_BY_LOAD);
  const others = byLoad.slice(maxEjected);
  const meanOfOthers =
    others.reduce((sum, backend) => sum + requestsPerSlot(backend), 0) / others.length;
  const threshold = Math.max(MIN_REQUESTS_PER_SLOT, MEAN_LOAD_FACTOR * meanOfOthers);
  const ejected = new Set(
    byLoad.slice(0, maxEjected).filter((backend) => requestsPerSlot(backend) >= threshold),
  );
  return ejected.size === 0 ? candidates : candidates.filter((backend) => !ejected.has(backend));
}

function requestsPerSlot(backend: KnownBackend): number {
  return busyInFleet(backend) / slotsOf(backend);
}
