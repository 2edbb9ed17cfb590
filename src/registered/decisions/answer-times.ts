/**
 * @file How long does each back end take for an answer, against the others of its service?
 *
 * - Inputs: answer stats over all balancers; answers and milliseconds.
 * - Returns: a share of the mean of the service: 2 is twice as slow, 1 where nothing is known.
 * - Reason: back ends are of unequal speed. Where a third of them is more than twice as fast as the rest, half of the
 *   work or more is better done there, and by their slots alone they get a third. The time holds what a request waits
 *   there as well, so a fast back end that is crowded counts as slower by itself.
 *
 * `amberlift_ingress_backend_answer_ms` shows the mean of each back end.
 */
import type { AnswerStats } from '../load-exchange/answer-stats.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import type { ObservedBackend } from './fleet-answer-stats.js';

/** How long a back end takes, as a share of what its service takes on average: 2 is twice as slow. */
type RelativeTime = number;

/**
 * A back end of which little is known counts as average, as if it had given so many average answers: where one answer
 * in thirty is a slow one, a single one must not decide. Not measured by itself; too high if a slow back end with few
 * answers keeps its share.
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
