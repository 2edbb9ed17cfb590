/**
 * @file How many connections does a back end carry now, by this balancer's estimate? Load reports come late, so they are
 * corrected at once for this balancer's own opens. A report that is several seconds old misses the opens sent since, and
 * all balancers that read it would send their next opens to the same back end. So an own open counts at once, for as many
 * balancers as do the same, and a report only draws the estimate towards it.
 *
 * Owns `LoadEstimate`, one per back end; only the functions here change it. Times are in milliseconds on the clock of the
 * step.
 */
import type { LoadReport } from '../health/backend-report.js';

/**
 * Time constant in milliseconds with which reports draw the estimate. Peak over mean connections in a tenfold surge, two
 * seeds each: 5 s gave 1.060 and 1.052 with reports 1 s late, 15 s gave 1.067 and 1.081; with reports 5 s late and 30
 * balancers, 5 s gave 1.066 and 1.090, 2 s gave 1.085 and 1.141 (docs/design/placement.md).
 */
const REPORT_TIME_CONSTANT_MS = 5_000;
/**
 * Time constant in milliseconds with which recent opens are forgotten. Not measured; wrong if the peak over mean
 * rises with the delay of reports.
 */
const RECENT_OPENS_TIME_CONSTANT_MS = 1_000;
/**
 * Time constant in milliseconds with which refusals and timeouts are forgotten. Not measured; too short if one back
 * end is tried and fails again and again.
 */
const FAILURE_TIME_CONSTANT_MS = 2_000;
/**
 * The connection limit of a back end that has reported none. Only its ratio to other back ends counts, and they get
 * the same.
 */
export const ASSUMED_CONNECTION_LIMIT = 1_000;

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
 * Counts an open that was sent to the back end.
 * @param balancerCount how many balancers send their opens as this one does
 */
export function estimateOpen(estimate: LoadEstimate, balancerCount: number, nowMs: number): void {
  forget(estimate, nowMs);
  estimate.connections += balancerCount;
  estimate.recentOpens += 1;
}

/**
 * Takes back an open that was refused or timed out.
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
 * Draws the estimate towards a load report.
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
 * Resets the estimate after the back end's process has restarted.
 */
export function resetEstimate(estimate: LoadEstimate): void {
  estimate.connections = 0;
  estimate.slotUse = 0;
  estimate.reportedAtMs = undefined;
}

/**
 * @returns opens that this balancer sent to the back end recently, forgotten exponentially
 */
export function recentOpens(estimate: LoadEstimate, nowMs: number): number {
  const ageMs = nowMs - estimate.recentAtMs;
  return estimate.recentOpens * Math.exp(-ageMs / RECENT_OPENS_TIME_CONSTANT_MS);
}

/**
 * @returns opens of this balancer that the back end recently refused or let time out, forgotten exponentially
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
