/**
 * @file Answer stats of a back end over all balancers: those of this balancer plus the sums that the feed
 * reports for the others. A single balancer sees too few answers of each back end: one of 80 sees one in ten seconds.
 */
import type { AnswerStats } from '../load-exchange/answer-stats.js';
import type { KnownBackend } from '../ingress/known-backend.js';

/** @returns the sum over all balancers; the part of the others lags by half a second or more */
export function fleetAnswerStats({ local, fleet }: KnownBackend, nowMs: number): AnswerStats {
  const own = local.answers.stats(nowMs);
  return {
    stalled: own.stalled + fleet.stalled,
    answered: own.answered + fleet.answered,
    answerMs: own.answerMs + fleet.answerMs,
    short: own.short + fleet.short,
  };
}

/** A back end with its answer stats over all balancers. */
export interface ObservedBackend {
  readonly backend: KnownBackend;
  readonly stats: AnswerStats;
}

/** @returns the back ends with their answer stats over all balancers, in the same order */
export function observeAll(backends: readonly KnownBackend[], nowMs: number): ObservedBackend[] {
  return backends.map((backend) => ({ backend, stats: fleetAnswerStats(backend, nowMs) }));
}

/** @returns the answers of usual size and their total latency, over several back ends */
export function sumAnswerTimes(
  observed: readonly ObservedBackend[],
): Pick<AnswerStats, 'answered' | 'answerMs'> {
  return observed.reduce(
    ({ answered, answerMs }, { stats }) => ({
      answered: answered + stats.answered,
      answerMs: answerMs + stats.answerMs,
    }),
    { answered: 0, answerMs: 0 },
  );
}
