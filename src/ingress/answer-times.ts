/**
 * @file How long each back end of a service takes for an answer, against the others of its service. It answers back ends
 * of unequal speed: with a third of them more than twice as fast as the rest, half of the work or more is better done
 * there, and by their slots alone they get a third.
 *
 * The time holds what a request waits there as well, so a fast back end that is crowded counts as slower by itself.
 */
import type { KnownBackend } from './backend-table.js';

/** How long a back end takes, as a share of what its service takes on average: 2 is twice as slow. */
export type RelativeTime = number;

/**
 * A back end of which little is known counts as average, as if it had given so many average answers: tails are one
 * answer in thirty, and a single one must not decide.
 */
const PRIOR_ANSWERS = 8;

/**
 * @param backends of one service
 * @returns the time of each; 1 for all while nothing is known
 */
export function relativeTimes(
  backends: readonly KnownBackend[],
  nowMs: number,
): Map<KnownBackend, RelativeTime> {
  const known = backends.map((backend) => sumOf(backend, nowMs));
  const answered = known.reduce((sum, one) => sum + one.answered, 0);
  const answerMs = known.reduce((sum, one) => sum + one.answerMs, 0);
  const meanMs = answered > 0 ? answerMs / answered : 0;
  const times = new Map<KnownBackend, RelativeTime>();
  backends.forEach((backend, at) => {
    const one = known[at];
    times.set(backend, one === undefined || meanMs <= 0 ? 1 : timeAgainst(meanMs, one));
  });
  return times;
}

interface Answers {
  readonly answered: number;
  readonly answerMs: number;
}

function sumOf({ answers, others }: KnownBackend, nowMs: number): Answers {
  const own = answers.signals(nowMs);
  return {
    answered: own.answered + others.answered,
    answerMs: own.answerMs + others.answerMs,
  };
}

function timeAgainst(meanMs: number, { answered, answerMs }: Answers): RelativeTime {
  return (answerMs + PRIOR_ANSWERS * meanMs) / ((answered + PRIOR_ANSWERS) * meanMs);
}
