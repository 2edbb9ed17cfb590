/**
 * @file Aggregates the reports of a subtree into one message of bounded size: a common log index and a limited number of
 * laggards.
 */
import type { SubtreeReport } from './link-messages.js';
import { allReports, type SubtreeReports } from './subtree-report.js';

/**
 * Maximum number of laggards in a report, furthest behind first. If there are more, the lowest omitted index is reported
 * as the common one.
 */
export const MAX_LAGGARDS = 20;

/**
 * Aggregates the reports for upstream.
 * @param withMembers true if upstream does not have the current members
 * @returns the report, or undefined if the subtree is empty and upstream knows it
 */
export function buildSubtreeReport(
  reports: SubtreeReports,
  withMembers: boolean,
): SubtreeReport | undefined {
  const all = allReports(reports).sort((one, other) => one.index - other.index);
  const highest = all.at(-1)?.index;
  if (highest === undefined) {
    return withMembers ? { members: [], commonIndex: 0, laggards: [] } : undefined;
  }
  const behind = all.filter(({ index }) => index < highest);
  const firstOmitted = behind[MAX_LAGGARDS];
  const members = all.map(({ balancerId, zone }) => ({
    balancerId,
    zone,
    isLinked: !reports.unlinked.has(balancerId),
  }));
  return {
    ...(withMembers && { members }),
    commonIndex: firstOmitted?.index ?? highest,
    laggards: behind.slice(0, MAX_LAGGARDS).map(({ balancerId, index }) => ({ balancerId, index })),
  };
}
