/**
 * @file The policy `random`: every candidate with equal probability. A baseline for measurements, and safe without
 * any report.
 */
import type { StepContext } from '../../shared/common/step.js';
import {
  isUntried,
  type PlacementCandidate,
  type PlacementPolicy,
  type PlacementRequest,
} from './placement-policy.js';

/** Chooses uniformly at random. */
export class RandomPolicy implements PlacementPolicy {
  readonly name = 'random';

  choose(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    context: StepContext,
  ): PlacementCandidate | undefined {
    const first = request.triedBackendIds.length === 0;
    const untried = first ? candidates : candidates.filter((one) => isUntried(one, request));
    return untried.length === 0 ? undefined : untried[context.random.nextInt(untried.length)];
  }
}
