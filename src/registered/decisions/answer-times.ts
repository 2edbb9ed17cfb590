/**
 * @file Relative answer times of the back ends of a service, for weighting the choice by speed. An answer
 * time includes the wait in the queue of the back end, so a crowded back end counts as slower. By their slots alone, fast
 * back ends would get the same share as slow ones.
 */
import type { AnswerStats } from '../load-exchange/answer-stats.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import type { ObservedBackend } from './fleet-answer-stats.js';

/** Mean answer time as a multiple of the mean of the service: 2 is twice as slow. */
type RelativeTime = number;

/** Average answers that each estimate starts with, so that a single slow one does not dominate it. */
const PRIOR_ANSWERS = 8;

/**
 * @param all back ends of one service
 * @returns the relative time of each; 1 for all while there are no answers
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
    times.set(backend, meanMs > 0 ? relativeTime(meanMs, stats) : 1);
  }
  return times;
}

function relativeTime(meanMs: number, { answered, answerMs }: AnswerStats): RelativeTime {
  return (answerMs + PRIOR_ANSWERS * meanMs) / ((answered + PRIOR_ANSWERS) * meanMs);
}
