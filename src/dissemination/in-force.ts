/**
 * @file What balancers have in force, as they reported it to a control machine.
 */
import type { ConfigPosition } from '../control/config-update.js';
import { LEASE_DURATION_MS, LEASE_MARGIN_MS } from './lease.js';

/** A balancer that has not reported for this time is past its lease and no longer counted, in ms. */
export const REPORT_LIFETIME_MS = LEASE_DURATION_MS + LEASE_MARGIN_MS;

/** What a balancer reported last. */
export interface BalancerReport {
  readonly balancerId: string;
  readonly zone: string;
  readonly position: ConfigPosition;
  /** On the control machine's clock, in milliseconds. */
  readonly reportedAtMs: number;
}

/** Reports by balancer ID. */
export type BalancerReports = Map<string, BalancerReport>;

/**
 * Forgets balancers that are past their lease.
 */
export function expireReports(reports: BalancerReports, nowMs: number): void {
  for (const [balancerId, { reportedAtMs }] of reports) {
    if (nowMs - reportedAtMs > REPORT_LIFETIME_MS) {
      reports.delete(balancerId);
    }
  }
}

/**
 * @param committedIndex what there is to have
 * @returns the log index that every balancer that reports has in force
 */
export function inForceIndex(reports: BalancerReports, committedIndex: number): number {
  let lowest = committedIndex;
  for (const { position } of reports.values()) {
    lowest = Math.min(lowest, position.index);
  }
  return lowest;
}
