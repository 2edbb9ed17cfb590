/**
 * @file Detects wrong load reports: those that stay the same while the back end accepts opens, and those that claim
 * an idle back end while it refuses opens.
 */
import type { LoadReport } from './backend-report.js';

/** Reports count as frozen once both thresholds are reached; equal reports alone are normal for an idle service. */
const FROZEN_AFTER_EQUAL_REPORTS = 2;
const FROZEN_AFTER_ACCEPTED = 10;
/** Consecutive refusals after which reports of an idle back end are not trusted. */
const DISTRUST_IDLE_AFTER_REFUSALS = 3;
/** Consecutive accepted opens after which reports of an idle back end are trusted again. */
const TRUST_AFTER_ACCEPTED = 5;
/** Consecutive changed reports after which reports no longer count as frozen. */
const TRUST_AFTER_CHANGES = 2;
/** A report counts as idle below this connection utilization, if it also has a free slot and an empty queue. */
const MAX_IDLE_UTILIZATION = 0.9;

/** Why load reports are not trusted. */
export type DistrustCause = 'frozen' | 'idle-but-refuses';

/** Trust in a back end's load reports, with the evidence. */
export interface ReportTrust {
  /** Undefined if the reports are trusted. */
  distrust: DistrustCause | undefined;
  lastReport: LoadReport | undefined;
  /** Consecutive reports equal to the previous one. */
  equalReports: number;
  /** Consecutive reports different from the previous one. */
  changedReports: number;
  /** Opens accepted since the reports last changed. */
  acceptedSinceChange: number;
  consecutiveAccepts: number;
  consecutiveRefusals: number;
}

/**
 * @returns the state before the first report; reports are trusted
 */
export function createReportTrust(): ReportTrust {
  return {
    distrust: undefined,
    lastReport: undefined,
    equalReports: 0,
    changedReports: 0,
    acceptedSinceChange: 0,
    consecutiveAccepts: 0,
    consecutiveRefusals: 0,
  };
}

/**
 * Records a load report and updates the trust.
 */
export function updateTrustOnReport(trust: ReportTrust, report: LoadReport): void {
  const isEqual = trust.lastReport !== undefined && sameLoad(trust.lastReport, report);
  trust.lastReport = report;
  if (isEqual) {
    trust.equalReports += 1;
    trust.changedReports = 0;
    if (isFrozen(trust)) {
      trust.distrust = 'frozen';
    }
    return;
  }
  trust.equalReports = 0;
  trust.changedReports += 1;
  trust.acceptedSinceChange = 0;
  if (trust.distrust === 'frozen' && trust.changedReports >= TRUST_AFTER_CHANGES) {
    trust.distrust = undefined;
  }
}

/**
 * Records whether the back end accepted or refused an open, and updates the trust.
 */
export function updateTrustOnAnswer(trust: ReportTrust, accepted: boolean): void {
  if (accepted) {
    trust.acceptedSinceChange += 1;
    trust.consecutiveAccepts += 1;
    trust.consecutiveRefusals = 0;
    if (trust.distrust === 'idle-but-refuses' && trust.consecutiveAccepts >= TRUST_AFTER_ACCEPTED) {
      trust.distrust = undefined;
    }
    return;
  }
  trust.consecutiveAccepts = 0;
  trust.consecutiveRefusals += 1;
  if (trust.consecutiveRefusals >= DISTRUST_IDLE_AFTER_REFUSALS && reportsIdle(trust.lastReport)) {
    trust.distrust = 'idle-but-refuses';
  }
}

function isFrozen(trust: ReportTrust): boolean {
  return (
    trust.equalReports >= FROZEN_AFTER_EQUAL_REPORTS &&
    trust.acceptedSinceChange >= FROZEN_AFTER_ACCEPTED
  );
}

function reportsIdle(report: LoadReport | undefined): boolean {
  return (
    report !== undefined &&
    report.connections < MAX_IDLE_UTILIZATION * report.connectionLimit &&
    report.busySlots < report.slots &&
    report.queuedRequests === 0
  );
}

function sameLoad(left: LoadReport, right: LoadReport): boolean {
  return (
    left.connections === right.connections &&
    left.busySlots === right.busySlots &&
    left.queuedRequests === right.queuedRequests &&
    left.connectionLimit === right.connectionLimit &&
    left.slots === right.slots
  );
}
