/**
 * @file How a back end answers at all balancers together.
 */
import type { AnswerStats } from '../load-exchange/answer-stats.js';
import type { KnownBackend } from '../ingress/known-backend.js';

/** @returns what is seen here, and what was told of all others */
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

/** @returns what each shows now */
export function observeAll(backends: readonly KnownBackend[], nowMs: number): ObservedBackend[] {
  return backends.map((backend) => ({ backend, stats: fleetAnswerStats(backend, nowMs) }));
}
