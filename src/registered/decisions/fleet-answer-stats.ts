/**
 * @file How does a back end answer at all balancers together? The sum of what is recorded here and what the feed says
 * of all others. One balancer of many sees too little: of 80 each sees one answer of a back end in ten seconds.
 */
import type { AnswerStats } from '../load-exchange/answer-stats.js';
import type { KnownBackend } from '../ingress/known-backend.js';

/** @returns the sum over all balancers; the part of the others is half a second old or more */
export function fleetAnswerStats({ local, fleet }: KnownBackend, nowMs: number): AnswerStats {
  const own = local.answers.stats(nowMs);
  return {
    stalled: own.stalled + fleet.stalled,
    answered: own.answered + fleet.answered,
    answerMs: own.answerMs + fleet.answerMs,
    short: own.short + fleet.short,
  };
}

/** A back end and how it answers at all balancers together. */
export interface ObservedBackend {
  readonly backend: KnownBackend;
  readonly stats: AnswerStats;
}

/** @returns the same for each of some back ends */
export function observeAll(backends: readonly KnownBackend[], nowMs: number): ObservedBackend[] {
  return backends.map((backend) => ({ backend, stats: fleetAnswerStats(backend, nowMs) }));
}
