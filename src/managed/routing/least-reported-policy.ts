/**
 * @file The policy `least-reported`: the candidate that reports the fewest connections for its limit. A baseline:
 * between two reports every open of every balancer goes to the same back end.
 */
import type { StepContext } from '../../shared/common/step.js';
import {
  isUntried,
  type PlacementCandidate,
  type PlacementPolicy,
  type PlacementRequest,
} from './placement-policy.js';

/** Chooses the least loaded by the reports alone, at random among equals. */
export class LeastReportedPolicy implements PlacementPolicy {
  readonly name = 'least-reported';

  choose(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    context: StepContext,
  ): PlacementCandidate | undefined {
    let least: PlacementCandidate | undefined;
    let leastUse = Infinity;
    let equals = 0;
    for (const candidate of candidates) {
      const use = reportedUse(candidate);
      if (use > leastUse || !isUntried(candidate, request)) {
        continue;
      }
      equals = use === leastUse ? equals + 1 : 1;
      leastUse = use;
      if (context.random.nextInt(equals) === 0) {
        least = candidate;
      }
    }
    return least;
  }
}

/** Connections over limit; 0 for a back end that has not reported. */
function reportedUse({ judgement }: PlacementCandidate): number {
  const report = judgement.trust.lastReport;
  return report === undefined ? 0 : report.connections / Math.max(1, report.connectionLimit);
}
