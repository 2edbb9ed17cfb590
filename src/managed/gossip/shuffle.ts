/**
 * @file A random order.
 */
import type { StepContext } from '../../shared/common/step.js';

/**
 * @returns the items in a random order
 */
export function shuffled<Item>(items: readonly Item[], { random }: StepContext): Item[] {
  return items
    .map((item) => ({ item, order: random.nextFloat() }))
    .sort((one, other) => one.order - other.order)
    .map(({ item }) => item);
}
