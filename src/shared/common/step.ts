/**
 * @file The contract of every decision step: deterministic code that is given the time and the
 * random source. A step owns its state and may update it in place; the same state, event, time and
 * random source always give the same effects.
 */

/** A source of random numbers; seeded in the simulator and in tests. */
export interface RandomSource {
  /**
   * @returns an integer from 0 (included) to `bound` (excluded)
   */
  nextInt(bound: number): number;
  /**
   * @returns a float from 0 (included) to 1 (excluded)
   */
  nextFloat(): number;
}

/** What a step is given besides its state and the event. */
export interface StepContext {
  /** Time in milliseconds on a clock that never runs backwards; its origin is arbitrary. */
  readonly nowMs: number;
  /** The random source of this process. */
  readonly random: RandomSource;
}
