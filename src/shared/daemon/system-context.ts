/**
 * @file The real clock and a random source seeded by the system; the only place where daemons get them from.
 */
import { randomInt } from 'node:crypto';
import { seededRandom } from '../common/random.js';
import type { RandomSource, StepContext } from '../common/step.js';

const SEED_BOUND = 2 ** 31;

/** Makes the context for each step of a daemon. */
export interface ContextSource {
  now(): StepContext;
}

/**
 * @returns contexts with the monotonic clock of this machine
 */
export function systemContextSource(): ContextSource {
  const random: RandomSource = seededRandom(randomInt(SEED_BOUND));
  return { now: () => ({ nowMs: performance.now(), random }) };
}
