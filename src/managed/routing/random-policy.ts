/**
 * @file The placement policy `random`: a uniform choice that needs no load reports. A baseline for comparisons.
 */
import type { StepContext } from '../../shared/common/step.js';
import {
  isUntried,
  type PlacementCandidate,
  type PlacementPolicy,
  type PlacementRequest,
} from './placement-policy.js';

/** Chooses uniformly at random among the untried candidates. */
export class RandomPolicy implements PlacementPolicy {
  readonly name = 'random';

  choose(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    context: StepContext,
  ): PlacementCandidate | undefined {
    const first = request.triedBackendIds.length === 0;
    const untried = first
      ? candidates
      : candidates.filter((candidate) => isUntried(candidate, request));
    return untried.length === 0 ? undefined : untried[context.random.nextInt(untried.length)];
  }
}
