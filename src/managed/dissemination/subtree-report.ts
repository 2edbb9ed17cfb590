/**
 * @file Which balancers are below, and what does each have in force? Gathers the reports of all links: each balancer reports
 * to the one that it is linked to, which reports for all below it. A balancer counts at the link over which it was reported
 * last; after its link is closed until it is linked again or past its lease.
 *
 * Owns `SubtreeReports`. Log indexes are those of the configuration; times are in milliseconds.
 */
import { LEASE_DURATION_MS, LEASE_MARGIN_MS } from './lease.js';
import type { ReportedMember, SubtreeReport } from './link-messages.js';

/** A balancer without a report for this time is past its lease and no longer counted, in milliseconds. */
export const REPORT_LIFETIME_MS = LEASE_DURATION_MS + LEASE_MARGIN_MS;
/** What one balancer has in force, as far as it is known. */
export interface BalancerReport {
  readonly balancerId: string;
  readonly zone: string;
  readonly index: number;
}

/** The last report of one link. */
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
 * @returns a state without reports
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
 * Applies a report. A balancer that reports over several links counts at the last one.
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
 * Removes a link that is closed. The balancers below it count until they are linked again or past their lease.
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
 * Removes the balancers that are past their lease.
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
 * @param highest the result where no balancer reports a lower one
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
    // The balancer that lost the link doesn't know where the other one went; the one that it is linked to does.
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

/** Removes a balancer from every other link. */
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
