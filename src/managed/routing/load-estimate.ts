/**
 * @file What this balancer believes a back end carries: the load reports, which come late, corrected
 * at once for its own opens. A report that is several seconds old misses the opens sent since, and
 * all balancers that read it would send their next opens to the same back end. So an own open counts
 * at once, for every balancer's share, and a report only draws the estimate towards it.
 */
import type { LoadReport } from '../health/backend-report.js';

/**
 * Time constant in milliseconds with which reports draw the estimate. Shorter ones swing where reports
 * are 5 s late, longer ones leave in place what the ends of flows make uneven; see the design.
 */
const REPORT_TIME_CONSTANT_MS = 5_000;
/** Time constant in milliseconds with which recent opens are forgotten. */
const RECENT_OPENS_TIME_CONSTANT_MS = 1_000;
/** Time constant in milliseconds with which refusals and timeouts are forgotten. */
const FAILURE_TIME_CONSTANT_MS = 2_000;
/** The connection limit of a back end that has reported none. */
const ASSUMED_CONNECTION_LIMIT = 1_000;

/** The estimate of one back end's load. Its functions keep it; others read it. */
export interface LoadEstimate {
  /** Open flows over all balancers. */
  connections: number;
  connectionLimit: number;
  /** Busy slots and queued requests over slots, averaged over reports. */
  slotUse: number;
  /** Undefined until the first report. */
  reportedAtMs: number | undefined;
  /** Opens sent by this balancer, forgotten exponentially, as of `recentAtMs`. */
  recentOpens: number;
  /** Refused and timed-out opens of this balancer, forgotten exponentially, as of `recentAtMs`. */
  recentFailures: number;
  recentAtMs: number;
}

/**
 * @returns the estimate of a back end of which nothing is known
 */
export function createLoadEstimate(): LoadEstimate {
  return {
    connections: 0,
    connectionLimit: ASSUMED_CONNECTION_LIMIT,
    slotUse: 0,
    reportedAtMs: undefined,
    recentOpens: 0,
    recentFailures: 0,
    recentAtMs: 0,
  };
}

/**
 * An open was sent there.
 * @param balancerCount how many balancers do as this one does
 */
export function estimateOpen(estimate: LoadEstimate, balancerCount: number, nowMs: number): void {
  forget(estimate, nowMs);
  estimate.connections += balancerCount;
  estimate.recentOpens += 1;
}

/**
 * An open that was sent there was refused or timed out.
 */
export function estimateFailure(
  estimate: LoadEstimate,
  balancerCount: number,
  nowMs: number,
): void {
  forget(estimate, nowMs);
  estimate.connections = Math.max(0, estimate.connections - balancerCount);
  estimate.recentFailures += 1;
}

/**
 * A load report came.
 */
export function estimateReport(estimate: LoadEstimate, report: LoadReport, nowMs: number): void {
  estimate.connectionLimit = Math.max(1, report.connectionLimit);
  const slotUse = (report.busySlots + report.queuedRequests) / Math.max(1, report.slots);
  if (estimate.reportedAtMs === undefined) {
    estimate.connections += report.connections;
    estimate.slotUse = slotUse;
  } else {
    const gain = 1 - Math.exp((estimate.reportedAtMs - nowMs) / REPORT_TIME_CONSTANT_MS);
    estimate.connections += gain * (report.connections - estimate.connections);
    estimate.slotUse += gain * (slotUse - estimate.slotUse);
  }
  estimate.reportedAtMs = nowMs;
}

/**
 * The back end's process has started anew: what was known of the last one no longer holds.
 */
export function resetEstimate(estimate: LoadEstimate): void {
  estimate.connections = 0;
  estimate.slotUse = 0;
  estimate.reportedAtMs = undefined;
}

/**
 * @returns opens that this balancer sent there of late
 */
export function recentOpens(estimate: LoadEstimate, nowMs: number): number {
  const ageMs = nowMs - estimate.recentAtMs;
  return estimate.recentOpens * Math.exp(-ageMs / RECENT_OPENS_TIME_CONSTANT_MS);
}

/**
 * @returns opens of this balancer that were refused there or timed out of late
 */
export function recentFailures(estimate: LoadEstimate, nowMs: number): number {
  const ageMs = nowMs - estimate.recentAtMs;
  return estimate.recentFailures * Math.exp(-ageMs / FAILURE_TIME_CONSTANT_MS);
}

function forget(estimate: LoadEstimate, nowMs: number): void {
  estimate.recentFailures = recentFailures(estimate, nowMs);
  estimate.recentOpens = recentOpens(estimate, nowMs);
  estimate.recentAtMs = nowMs;
}
