/**
 * @file Seeded pseudo-random sources, based on the pure-rand library.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from './step.js';

/**
 * @param seed 32-bit seed; the same seed gives the same sequence
 * @returns a deterministic random source
 */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {
    nextInt: (bound) => uniformInt(generator, 0, bound - 1),
    nextFloat: () => uniformFloat64(generator),
  };
}
