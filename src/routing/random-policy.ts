/**
 * @file Random placement: every candidate alike. A baseline.
 */
import type { StepContext } from '../common/step.js';
import type { PlacementCandidate, PlacementPolicy, PlacementRequest } from './placement-policy.js';

/** Chooses uniformly at random. */
export class RandomPolicy implements PlacementPolicy {
  readonly name = 'random';

  choose(
    candidates: readonly PlacementCandidate[],
    _request: PlacementRequest,
    context: StepContext,
  ): PlacementCandidate {
    const chosen = candidates[context.random.nextInt(candidates.length)];
    if (chosen === undefined) {
      throw new RangeError('A policy is never called with an empty list.');
    }
    return chosen;
  }
}
