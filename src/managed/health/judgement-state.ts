/**
 * @file The state of a back end as judged by one balancer, with the evidence and recent changes. Only
 * `judgement.ts` and the modules that it calls change a `Judgement`.
 */
import type { BackendAdminState } from '../control/routing-config.js';
import type { HealthReport } from './backend-report.js';
import { createReportTrust, type ReportTrust } from './report-trust.js';

/**
 * State of a back end as judged by one balancer. Only `ready` back ends receive new flows, or `busy` ones if none is
 * ready.
 */
export type JudgedState = 'starting' | 'ready' | 'busy' | 'draining' | 'down';

/** Reason for the judged state, as logged. */
export type JudgementReason =
  | 'not-probed-yet'
  | 'reports-starting'
  | 'reports-ready'
  | 'reports-draining'
  | 'readiness-unsteady'
  | 'operators-drain'
  | 'probes-fail'
  | 'probes-fail-but-opens-succeed'
  | 'probes-fail-everywhere'
  | 'opens-time-out'
  | 'opens-refused'
  | 'connections-full';

/** A change of the judged state. */
export interface JudgementTransition {
  readonly atMs: number;
  readonly from: JudgedState;
  readonly to: JudgedState;
  readonly reason: JudgementReason;
}

/** State and evidence of one back end, as judged by one balancer. Times are on the clock of the step. */
export interface Judgement {
  state: JudgedState;
  reason: JudgementReason;
  /** Start of the current state; undefined before the first change. */
  sinceMs: number | undefined;
  adminState: BackendAdminState;
  /** Last health report. */
  health: HealthReport | undefined;
  /** Consecutive probes without a health report. */
  failedProbes: number;
  /** Consecutive probes that reported `ready`. */
  readyProbes: number;
  /** Consecutive timeouts of this balancer's opens. */
  consecutiveTimeouts: number;
  /** Refusals of this balancer's opens since the last accepted one; timeouts don't reset them. */
  consecutiveRefusals: number;
  /** Share of this balancer's opens that timed out; exponential moving average over outcomes. */
  timeoutShare: number;
  /** Outcomes of opens since the last ejection or restart. */
  outcomeCount: number;
  lastAcceptedAtMs: number;
  /** End of the ejection for timeouts. */
  ejectedUntilMs: number;
  /** Ejections that count for the backoff, see `ejection.ts`. */
  consecutiveEjections: number;
  /** End of the busy period for refusals. */
  busyUntilMs: number;
  /** Busy periods since the last accepted open. */
  consecutiveBusyPeriods: number;
  /** Times of the last losses of readiness, oldest first; bounded. */
  readonly readinessLostAtMs: number[];
  /** Start of slow start; undefined if the back end was warm when first seen. */
  slowStartAtMs: number | undefined;
  readonly trust: ReportTrust;
  /** Recent changes of state, oldest first; bounded. */
  readonly history: JudgementTransition[];
}

/**
 * Counts over one service's back ends, used to limit how many are taken out of service at once.
 */
export interface JudgementGroup {
  /** Number of back ends of the service. */
  size: number;
  /** Number of back ends ejected for timeouts. */
  ejected: number;
  /** Number of back ends whose probes fail. */
  failingProbes: number;
}

/**
 * @returns the judgement before any evidence; its state is `starting`
 */
export function createJudgement(adminState: BackendAdminState): Judgement {
  return {
    state: 'starting',
    reason: 'not-probed-yet',
    sinceMs: undefined,
    adminState,
    health: undefined,
    failedProbes: 0,
    readyProbes: 0,
    consecutiveTimeouts: 0,
    consecutiveRefusals: 0,
    timeoutShare: 0,
    outcomeCount: 0,
    lastAcceptedAtMs: -Infinity,
    ejectedUntilMs: -Infinity,
    consecutiveEjections: 0,
    busyUntilMs: -Infinity,
    consecutiveBusyPeriods: 0,
    readinessLostAtMs: [],
    slowStartAtMs: undefined,
    trust: createReportTrust(),
    history: [],
  };
}
