/**
 * @file What balancers have in force, gathered on the way up: each balancer reports to the one that it
 * is linked to, which reports for all below it. A report costs about the same for one and for a
 * hundred balancers, since it names only those that differ from most.
 */
import { LEASE_DURATION_MS, LEASE_MARGIN_MS } from './lease.js';

/** A balancer that has not reported for this time is past its lease and no longer counted, in ms. */
export const REPORT_LIFETIME_MS = LEASE_DURATION_MS + LEASE_MARGIN_MS;
/** Bound of the balancers that a report names one by one; those that lag most go first. */
export const MAX_LAGGARDS = 20;

/** A balancer below the sender of a report. */
interface ReportedMember {
  readonly balancerId: string;
  readonly zone: string;
  /** False where its link is closed and nobody knows yet where it went. */
  readonly isLinked: boolean;
}

/** A balancer that lags behind the others of a report. */
interface Laggard {
  readonly balancerId: string;
  readonly index: number;
}

/** What is in force below the sender. */
export interface SubtreeReport {
  /** Sent where they changed since the last report on this link. */
  readonly members?: readonly ReportedMember[];
  /** Every member that is not among the laggards has this log index in force. */
  readonly commonIndex: number;
  readonly laggards: readonly Laggard[];
}

/** What one balancer has in force, as far as it is known. */
export interface BalancerReport {
  readonly balancerId: string;
  readonly zone: string;
  readonly index: number;
}

/** What came over one link. */
interface LinkReports {
  readonly balancerId: string;
  readonly zone: string;
  index: number;
  reportedAtMs: number;
  members: Map<string, ReportedMember>;
  commonIndex: number;
  laggards: Map<string, number>;
}

/** A balancer whose link is closed. */
interface Unlinked extends BalancerReport {
  readonly reportedAtMs: number;
}

/** The reports of all balancers below. */
export interface SubtreeReports {
  /** By the number of the link. */
  readonly links: Map<number, LinkReports>;
  readonly unlinked: Map<string, Unlinked>;
  /** Counts the changes of who is below. */
  membersVersion: number;
  /** Counts the changes of what is in force below. */
  indexVersion: number;
  /** The lowest index of all, as of a sum of both versions. */
  lowest: { readonly version: number; readonly index: number } | undefined;
}

/** One report of a linked balancer. */
interface IncomingReport {
  readonly balancerId: string;
  readonly zone: string;
  readonly index: number;
  readonly subtree?: SubtreeReport;
}

/**
 * @returns reports of nobody
 */
export function createSubtreeReports(): SubtreeReports {
  return {
    links: new Map(),
    unlinked: new Map(),
    membersVersion: 0,
    indexVersion: 0,
    lowest: undefined,
  };
}

/**
 * Takes a report. Who reports over several links counts where it was linked last.
 */
export function applyReport(
  reports: SubtreeReports,
  linkId: number,
  report: IncomingReport,
  nowMs: number,
): void {
  const { balancerId, zone, index, subtree } = report;
  const known = reports.links.get(linkId);
  const link = known ?? newLink(balancerId, zone);
  if (known === undefined) {
    reports.links.set(linkId, link);
    removeElsewhere(reports, linkId, balancerId);
    reports.membersVersion += 1;
  }
  if (link.index !== index || hasOtherIndexes(link, subtree)) {
    reports.indexVersion += 1;
  }
  link.index = index;
  link.reportedAtMs = nowMs;
  if (subtree === undefined) {
    return;
  }
  link.commonIndex = subtree.commonIndex;
  link.laggards = new Map(subtree.laggards.map((laggard) => [laggard.balancerId, laggard.index]));
  if (subtree.members !== undefined) {
    setMembers(reports, linkId, link, subtree.members);
  }
}

/**
 * Notes that a link is closed. Who was below it counts until it is linked again or past its lease.
 */
export function dropLink(reports: SubtreeReports, linkId: number): void {
  const link = reports.links.get(linkId);
  if (link === undefined) {
    return;
  }
  reports.links.delete(linkId);
  for (const report of reportsOf(link)) {
    reports.unlinked.set(report.balancerId, { ...report, reportedAtMs: link.reportedAtMs });
  }
  reports.membersVersion += 1;
}

/**
 * Forgets who is past its lease.
 */
export function expireReports(reports: SubtreeReports, nowMs: number): void {
  for (const [linkId, { reportedAtMs }] of reports.links) {
    if (nowMs - reportedAtMs > REPORT_LIFETIME_MS) {
      reports.links.delete(linkId);
      reports.membersVersion += 1;
    }
  }
  for (const [balancerId, { reportedAtMs }] of reports.unlinked) {
    if (nowMs - reportedAtMs > REPORT_LIFETIME_MS) {
      reports.unlinked.delete(balancerId);
      reports.membersVersion += 1;
    }
  }
}

/**
 * @param highest the result where nobody reports a lower one
 * @returns the log index that all have in force
 */
export function lowestIndex(reports: SubtreeReports, highest: number): number {
  const version = reports.membersVersion + reports.indexVersion;
  if (reports.lowest?.version !== version) {
    const index = allReports(reports).reduce((low, one) => Math.min(low, one.index), Infinity);
    reports.lowest = { version, index };
  }
  return Math.min(highest, reports.lowest.index);
}

/**
 * @returns what each balancer has in force, in no order
 */
export function allReports(reports: SubtreeReports): BalancerReport[] {
  const linked = [...reports.links.values()].flatMap(reportsOf);
  const unlinked = [...reports.unlinked.values()].map(({ balancerId, zone, index }) => ({
    balancerId,
    zone,
    index,
  }));
  return [...linked, ...unlinked];
}

/**
 * Sums the reports up for the next one above.
 * @param withMembers true where the receiver does not have the present members
 * @returns the report, or undefined where nobody is below
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

function newLink(balancerId: string, zone: string): LinkReports {
  return {
    balancerId,
    zone,
    index: 0,
    reportedAtMs: 0,
    members: new Map(),
    commonIndex: 0,
    laggards: new Map(),
  };
}

function setMembers(
  reports: SubtreeReports,
  linkId: number,
  link: LinkReports,
  members: readonly ReportedMember[],
): void {
  reports.membersVersion += 1;
  link.members = new Map();
  for (const member of members) {
    const { balancerId, isLinked } = member;
    // Whoever lost a balancer's link does not know where it went; the one it is linked to does.
    if (isLinked || !isKnownElsewhere(reports, linkId, balancerId)) {
      removeElsewhere(reports, linkId, balancerId);
      link.members.set(balancerId, member);
    }
  }
}

function isKnownElsewhere(reports: SubtreeReports, linkId: number, balancerId: string): boolean {
  for (const [otherId, other] of reports.links) {
    const isThere = other.balancerId === balancerId || other.members.has(balancerId);
    if (otherId !== linkId && isThere) {
      return true;
    }
  }
  return false;
}

/** Removes a balancer from wherever else it was known. */
function removeElsewhere(reports: SubtreeReports, linkId: number, balancerId: string): void {
  reports.unlinked.delete(balancerId);
  for (const [otherId, other] of reports.links) {
    if (otherId === linkId) {
      continue;
    }
    if (other.balancerId === balancerId) {
      // The balancer has linked anew; what was below it reports there or elsewhere.
      dropLink(reports, otherId);
      reports.unlinked.delete(balancerId);
    } else {
      reports.membersVersion += other.members.delete(balancerId) ? 1 : 0;
    }
  }
}

function hasOtherIndexes(link: LinkReports, subtree: SubtreeReport | undefined): boolean {
  return (
    subtree !== undefined &&
    (subtree.commonIndex !== link.commonIndex ||
      subtree.laggards.length !== link.laggards.size ||
      subtree.laggards.some(({ balancerId, index }) => link.laggards.get(balancerId) !== index))
  );
}

function reportsOf(link: LinkReports): BalancerReport[] {
  const { balancerId, zone, index, members, commonIndex, laggards } = link;
  const below = [...members.values()].map((member) => ({
    balancerId: member.balancerId,
    zone: member.zone,
    index: laggards.get(member.balancerId) ?? commonIndex,
  }));
  return [
    { balancerId, zone, index },
    ...below.filter((member) => member.balancerId !== balancerId),
  ];
}
