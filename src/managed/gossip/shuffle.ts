/**
 * @file Shuffles items with the random source of the step.
 */
import type { StepContext } from '../../shared/common/step.js';

/**
 * @returns a shuffled copy of the items
 */
export function shuffled<Item>(items: readonly Item[], { random }: StepContext): Item[] {
  return items
    .map((item) => ({ item, order: random.nextFloat() }))
    .sort((one, other) => one.order - other.order)
    .map(({ item }) => item);
}
