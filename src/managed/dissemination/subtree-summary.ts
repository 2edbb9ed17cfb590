/**
 * @file How is what many balancers have in force summed up in one message? By the log index that most have, and by name at
 * most a few that lag. So a report costs about the same for one balancer and for a hundred.
 */
import type { SubtreeReport } from './link-messages.js';
import { allReports, type SubtreeReports } from './subtree-report.js';

/**
 * Bound of the balancers that a report names one by one; those that lag most come first, the rest count as far behind as the
 * first one that is not named. Not measured.
 */
export const MAX_LAGGARDS = 20;

/**
 * Sums up the reports for the machine above.
 * @param withMembers true where the receiver does not have the present members
 * @returns the report, or undefined where no balancer is below
 */
export function subtreeReport(
  reports: SubtreeReports,
  withMembers: boolean,
): SubtreeReport | undefined {
  const all = allReports(reports).sort((one, other) => one.index - other.index);
  const highest = all.at(-1)?.index;
  if (highest === undefined) {
    return withMembers ? { members: [], commonIndex: 0, laggards: [] } : undefined;
  }
  const behind = all.filter(({ index }) => index < highest);
  const firstUnnamed = behind[MAX_LAGGARDS];
  const members = all.map(({ balancerId, zone }) => ({
    balancerId,
    zone,
    isLinked: !reports.unlinked.has(balancerId),
  }));
  return {
    ...(withMembers && { members }),
    commonIndex: firstUnnamed?.index ?? highest,
    laggards: behind.slice(0, MAX_LAGGARDS).map(({ balancerId, index }) => ({ balancerId, index })),
  };
}
