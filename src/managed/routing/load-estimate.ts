/**
 * @file Estimates the current load of a back end from delayed load reports and this balancer's own opens. An own open
 * counts at once, multiplied by the number of balancers that send opens the same way; reports are smoothed in by an
 * exponential moving average. This keeps balancers from all choosing the back end with the lowest outdated report.
 */
import type { LoadReport } from '../health/backend-report.js';

/** Time constant of the moving average over load reports. */
const REPORT_TIME_CONSTANT_MS = 5_000;
/** Time constant of the exponential decay of recent opens. */
const RECENT_OPENS_TIME_CONSTANT_MS = 1_000;
/** Time constant of the exponential decay of recent refusals and timeouts. */
const FAILURE_TIME_CONSTANT_MS = 2_000;
/** Connection limit assumed until a back end reports one; only its ratio to other limits matters. */
export const DEFAULT_CONNECTION_LIMIT = 1_000;

/** Estimated load of one back end; changed only by the functions of this module. */
export interface LoadEstimate {
  /** Open flows of all balancers together. */
  connections: number;
  connectionLimit: number;
  /** Busy slots plus queued requests, divided by slots; moving average over reports. */
  slotUtilization: number;
  /** Undefined until the first report. */
  reportedAtMs: number | undefined;
  /** Opens sent by this balancer, with exponential decay, as of `recentAtMs`. */
  recentOpens: number;
  /** Refused and timed-out opens of this balancer, with exponential decay, as of `recentAtMs`. */
  recentFailures: number;
  recentAtMs: number;
}

/**
 * @returns the estimate before the first open and report
 */
export function createLoadEstimate(): LoadEstimate {
  return {
    connections: 0,
    connectionLimit: DEFAULT_CONNECTION_LIMIT,
    slotUtilization: 0,
    reportedAtMs: undefined,
    recentOpens: 0,
    recentFailures: 0,
    recentAtMs: 0,
  };
}

/**
 * Counts an open that was sent to the back end.
 * @param balancerCount number of balancers that are assumed to send the same opens
 */
export function recordSentOpen(estimate: LoadEstimate, balancerCount: number, nowMs: number): void {
  decayRecentCounts(estimate, nowMs);
  estimate.connections += balancerCount;
  estimate.recentOpens += 1;
}

/**
 * Removes an open that was refused or timed out from the connections, and counts the failure.
 */
export function recordFailedOpen(
  estimate: LoadEstimate,
  balancerCount: number,
  nowMs: number,
): void {
  decayRecentCounts(estimate, nowMs);
  estimate.connections = Math.max(0, estimate.connections - balancerCount);
  estimate.recentFailures += 1;
}

/**
 * Updates the moving averages with a load report; the first report is taken over as it is.
 */
export function recordLoadReport(estimate: LoadEstimate, report: LoadReport, nowMs: number): void {
  estimate.connectionLimit = Math.max(1, report.connectionLimit);
  const slotUtilization = (report.busySlots + report.queuedRequests) / Math.max(1, report.slots);
  if (estimate.reportedAtMs === undefined) {
    estimate.connections += report.connections;
    estimate.slotUtilization = slotUtilization;
  } else {
    const weight = 1 - Math.exp((estimate.reportedAtMs - nowMs) / REPORT_TIME_CONSTANT_MS);
    estimate.connections += weight * (report.connections - estimate.connections);
    estimate.slotUtilization += weight * (slotUtilization - estimate.slotUtilization);
  }
  estimate.reportedAtMs = nowMs;
}

/**
 * Resets the estimate after the back end's process has restarted.
 */
export function resetEstimate(estimate: LoadEstimate): void {
  estimate.connections = 0;
  estimate.slotUtilization = 0;
  estimate.reportedAtMs = undefined;
}

/**
 * @returns recent opens of this balancer to the back end, decayed to `nowMs`
 */
export function recentOpens(estimate: LoadEstimate, nowMs: number): number {
  const ageMs = nowMs - estimate.recentAtMs;
  return estimate.recentOpens * Math.exp(-ageMs / RECENT_OPENS_TIME_CONSTANT_MS);
}

/**
 * @returns recent refused and timed-out opens of this balancer, decayed to `nowMs`
 */
export function recentFailures(estimate: LoadEstimate, nowMs: number): number {
  const ageMs = nowMs - estimate.recentAtMs;
  return estimate.recentFailures * Math.exp(-ageMs / FAILURE_TIME_CONSTANT_MS);
}

function decayRecentCounts(estimate: LoadEstimate, nowMs: number): void {
  estimate.recentFailures = recentFailures(estimate, nowMs);
  estimate.recentOpens = recentOpens(estimate, nowMs);
  estimate.recentAtMs = nowMs;
}
