/**
 * @file Collects the reports of the downstream balancers of a distribution tree node. A balancer counts at the link that
 * reported it last and, after that link is closed, until it is linked again or its lease has expired.
 */
import { LEASE_DURATION_MS, LEASE_MARGIN_MS } from './lease.js';
import type { ReportedMember, SubtreeReport } from './link-messages.js';

/** A report older than this no longer counts, as the balancer's lease has expired. */
export const REPORT_LIFETIME_MS = LEASE_DURATION_MS + LEASE_MARGIN_MS;

/** The log index in force at a balancer, as last reported. */
export interface BalancerReport {
  readonly balancerId: string;
  readonly zone: string;
  readonly index: number;
}

/** The last report received over a link. */
interface LinkReport {
  readonly balancerId: string;
  readonly zone: string;
  index: number;
  reportedAtMs: number;
  members: Map<string, ReportedMember>;
  commonIndex: number;
  laggards: Map<string, number>;
}

/** The last report of a balancer whose link is closed. */
interface UnlinkedReport extends BalancerReport {
  readonly reportedAtMs: number;
}

/** The reports of all downstream balancers. */
export interface SubtreeReports {
  /** By link ID. */
  readonly links: Map<number, LinkReport>;
  /** By balancer ID. */
  readonly unlinked: Map<string, UnlinkedReport>;
  /** Incremented when the set of downstream balancers or their links change. */
  membersVersion: number;
  /** Incremented when a reported index changes. */
  indexesVersion: number;
  /** The lowest reported index, cached for the sum of both versions. */
  cachedLowest: { readonly version: number; readonly index: number } | undefined;
}

/** A report received from a linked balancer. */
interface IncomingReport {
  readonly balancerId: string;
  readonly zone: string;
  readonly index: number;
  readonly subtree?: SubtreeReport;
}

/**
 * @returns a state without reports
 */
export function createSubtreeReports(): SubtreeReports {
  return {
    links: new Map(),
    unlinked: new Map(),
    membersVersion: 0,
    indexesVersion: 0,
    cachedLowest: undefined,
  };
}

/**
 * Applies a report. A balancer that reports over a new link is removed from all other links.
 */
export function applyReport(
  reports: SubtreeReports,
  linkId: number,
  report: IncomingReport,
  nowMs: number,
): void {
  const { balancerId, zone, index, subtree } = report;
  const known = reports.links.get(linkId);
  const link = known ?? createLinkReport(balancerId, zone);
  if (known === undefined) {
    reports.links.set(linkId, link);
    removeFromOtherLinks(reports, linkId, balancerId);
    reports.membersVersion += 1;
  }
  if (link.index !== index || hasChangedIndexes(link, subtree)) {
    reports.indexesVersion += 1;
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
 * Removes a closed link. Its balancers count as unlinked until they are linked again or their leases expire.
 */
export function removeLink(reports: SubtreeReports, linkId: number): void {
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
 * Removes reports whose balancers' leases have expired.
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
 * @param upperBound the result if no balancer reports a lower index
 * @returns the log index that all reporting balancers have in force
 */
export function lowestIndex(reports: SubtreeReports, upperBound: number): number {
  const version = reports.membersVersion + reports.indexesVersion;
  if (reports.cachedLowest?.version !== version) {
    const index = allReports(reports).reduce((low, one) => Math.min(low, one.index), Infinity);
    reports.cachedLowest = { version, index };
  }
  return Math.min(upperBound, reports.cachedLowest.index);
}

/**
 * @returns the last report of each balancer, in no particular order
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

function createLinkReport(balancerId: string, zone: string): LinkReport {
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
  link: LinkReport,
  members: readonly ReportedMember[],
): void {
  reports.membersVersion += 1;
  link.members = new Map();
  for (const member of members) {
    const { balancerId, isLinked } = member;
    // The former upstream still reports a moved balancer as unlinked; the link that reports it elsewhere wins.
    if (isLinked || !isReportedByOtherLink(reports, linkId, balancerId)) {
      removeFromOtherLinks(reports, linkId, balancerId);
      link.members.set(balancerId, member);
    }
  }
}

function isReportedByOtherLink(
  reports: SubtreeReports,
  linkId: number,
  balancerId: string,
): boolean {
  for (const [otherId, other] of reports.links) {
    const isThere = other.balancerId === balancerId || other.members.has(balancerId);
    if (otherId !== linkId && isThere) {
      return true;
    }
  }
  return false;
}

function removeFromOtherLinks(reports: SubtreeReports, linkId: number, balancerId: string): void {
  reports.unlinked.delete(balancerId);
  for (const [otherId, other] of reports.links) {
    if (otherId === linkId) {
      continue;
    }
    if (other.balancerId === balancerId) {
      // The balancer has reconnected; its subtree stays unlinked until reported again.
      removeLink(reports, otherId);
      reports.unlinked.delete(balancerId);
    } else {
      reports.membersVersion += other.members.delete(balancerId) ? 1 : 0;
    }
  }
}

function hasChangedIndexes(link: LinkReport, subtree: SubtreeReport | undefined): boolean {
  return (
    subtree !== undefined &&
    (subtree.commonIndex !== link.commonIndex ||
      subtree.laggards.length !== link.laggards.size ||
      subtree.laggards.some(({ balancerId, index }) => link.laggards.get(balancerId) !== index))
  );
}

function reportsOf(link: LinkReport): BalancerReport[] {
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
