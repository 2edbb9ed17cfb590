/**
 * @file The placement policy `least-reported`: the candidate with the lowest reported connection utilization. Only a
 * baseline for comparisons: between two reports all balancers send their opens to the same back end.
 */
import type { StepContext } from '../../shared/common/step.js';
import {
  isUntried,
  type PlacementCandidate,
  type PlacementPolicy,
  type PlacementRequest,
} from './placement-policy.js';

/** Chooses the back end with the lowest reported load; ties are broken at random. */
export class LeastReportedPolicy implements PlacementPolicy {
  readonly name = 'least-reported';

  choose(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    context: StepContext,
  ): PlacementCandidate | undefined {
    let least: PlacementCandidate | undefined;
    let minUtilization = Infinity;
    let tiedCount = 0;
    for (const candidate of candidates) {
      const utilization = reportedUtilization(candidate);
      if (utilization > minUtilization || !isUntried(candidate, request)) {
        continue;
      }
      tiedCount = utilization === minUtilization ? tiedCount + 1 : 1;
      minUtilization = utilization;
      if (context.random.nextInt(tiedCount) === 0) {
        least = candidate;
      }
    }
    return least;
  }
}

/** Connections divided by the limit; 0 before the first report. */
function reportedUtilization({ judgement }: PlacementCandidate): number {
  const report = judgement.trust.lastReport;
  return report === undefined ? 0 : report.connections / Math.max(1, report.connectionLimit);
}
