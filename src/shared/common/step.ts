/**
 * @file The context of decision steps. A step is deterministic: the same state, event, time and random source always
 * produce the same effects. It owns its state and may update it in place.
 */

/** A source of random numbers; seeded in simulations and tests. */
export interface RandomSource {
  /**
   * @returns an integer from 0 (inclusive) to `bound` (exclusive)
   */
  nextInt(bound: number): number;
  /**
   * @returns a float from 0 (inclusive) to 1 (exclusive)
   */
  nextFloat(): number;
}

/** Inputs of a step besides its state and the event. */
export interface StepContext {
  /** Time on a monotonic clock with an arbitrary origin. */
  readonly nowMs: number;
  readonly random: RandomSource;
}
