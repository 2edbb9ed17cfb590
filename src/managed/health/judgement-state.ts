/**
 * @file The judged state of a back end, the evidence that it follows from, and its history. `judgement.ts` changes these
 * records.
 */
import type { BackendAdminState } from '../control/routing-config.js';
import type { HealthReport } from './backend-report.js';
import { createReportTrust, type ReportTrust } from './report-trust.js';

/**
 * The states of a back end as one balancer judges it: `starting` and `down` take no new flows,
 * `ready` takes them, `busy` takes them only where no other is ready, `draining` takes none and is
 * on its way out.
 */
export type JudgedState = 'starting' | 'ready' | 'busy' | 'draining' | 'down';

/** Why a back end is in its state. */
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

/** One change of state. */
export interface JudgementTransition {
  readonly atMs: number;
  readonly from: JudgedState;
  readonly to: JudgedState;
  readonly reason: JudgementReason;
}

/** The judgement of one back end by one balancer. Times are on the clock of the step. */
export interface Judgement {
  state: JudgedState;
  reason: JudgementReason;
  /** When it entered its state; undefined before the first change. */
  sinceMs: number | undefined;
  adminState: BackendAdminState;
  /** The last health report. */
  health: HealthReport | undefined;
  /** Probes without a health report, in a row. */
  failedProbes: number;
  /** Probes that reported `ready`, in a row. */
  readyProbes: number;
  /** Own opens that timed out, in a row. */
  timedOutInRow: number;
  /** Own opens that were refused, in a row. */
  refusedInRow: number;
  /** The part of own opens that timed out, forgotten exponentially over outcomes. */
  timeoutShare: number;
  /** Outcomes since the last ejection. */
  outcomes: number;
  lastAcceptedAtMs: number;
  /** Ejected for timeouts until then. */
  ejectedUntilMs: number;
  /** Ejections in a row, see `ejection.ts`. */
  ejections: number;
  /** Busy for refusals until then. */
  busyUntilMs: number;
  /** Busy times without an accepted open between. */
  busyRepeats: number;
  /** Its last losses of readiness, oldest first; bounded. */
  readonly unreadyAtMs: number[];
  /** Start of its slow start; undefined where it was warm when first seen. */
  slowStartAtMs: number | undefined;
  readonly trust: ReportTrust;
  /** Last changes of state, oldest first; bounded. */
  readonly history: JudgementTransition[];
}

/**
 * What the judgements of one service's back ends have in common, so that few of them are taken out
 * of service on this balancer's evidence alone.
 */
export interface JudgementGroup {
  /** Back ends of the service. */
  size: number;
  /** How many of them are ejected for timeouts. */
  ejected: number;
  /** How many of them have probes that fail. */
  failingProbes: number;
}

/**
 * @returns the judgement of a back end of which nothing is known
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
    timedOutInRow: 0,
    refusedInRow: 0,
    timeoutShare: 0,
    outcomes: 0,
    lastAcceptedAtMs: -Infinity,
    ejectedUntilMs: -Infinity,
    ejections: 0,
    busyUntilMs: -Infinity,
    busyRepeats: 0,
    unreadyAtMs: [],
    slowStartAtMs: undefined,
    trust: createReportTrust(),
    history: [],
  };
}
