/**
 * @file How long each back end of a service takes for an answer, against the others of its service. It answers back ends
 * of unequal speed: with a third of them more than twice as fast as the rest, half of the work or more is better done
 * there, and by their slots alone they get a third.
 *
 * The time holds what a request waits there as well, so a fast back end that is crowded counts as slower by itself.
 */
import type { AnswerStats } from '../load-exchange/answer-stats.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import type { ObservedBackend } from './fleet-answer-stats.js';

/** How long a back end takes, as a share of what its service takes on average: 2 is twice as slow. */
export type RelativeTime = number;

/**
 * A back end of which little is known counts as average, as if it had given so many average answers: tails are one
 * answer in thirty, and a single one must not decide.
 */
const PRIOR_ANSWERS = 8;

/**
 * @param all back ends of one service
 * @returns the time of each; 1 for all while nothing is known
 */
export function relativeTimes(all: readonly ObservedBackend[]): Map<KnownBackend, RelativeTime> {
  let answered = 0;
  let answerMs = 0;
  for (const { stats } of all) {
    answered += stats.answered;
    answerMs += stats.answerMs;
  }
  const meanMs = answered > 0 ? answerMs / answered : 0;
  const times = new Map<KnownBackend, RelativeTime>();
  for (const { backend, stats } of all) {
    times.set(backend, meanMs > 0 ? timeAgainst(meanMs, stats) : 1);
  }
  return times;
}

function timeAgainst(meanMs: number, { answered, answerMs }: AnswerStats): RelativeTime {
  return (answerMs + PRIOR_ANSWERS * meanMs) / ((answered + PRIOR_ANSWERS) * meanMs);
}
