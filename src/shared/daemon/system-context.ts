/**
 * @file The system clock and a randomly seeded random source; the only source of time and randomness in daemons.
 */
import { randomInt } from 'node:crypto';
import { seededRandom } from '../common/random.js';
import type { RandomSource, StepContext } from '../common/step.js';

const SEED_BOUND = 2 ** 31;

/** Provides the context of each step of a daemon. */
export interface ContextSource {
  now(): StepContext;
}

/**
 * @returns a source of contexts with the monotonic clock of this process
 */
export function systemContextSource(): ContextSource {
  const random: RandomSource = seededRandom(randomInt(SEED_BOUND));
  return { now: () => ({ nowMs: performance.now(), random }) };
}
