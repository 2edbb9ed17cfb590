/**
 * @file Options of a stand-in back end: its size, its times, and the ways in which it may misbehave.
 */
import type { Address } from '../../shared/common/address.js';

/** Options of a stand-in back end; times in milliseconds. */
export interface BackendOptions {
  /** Name of its service; work for another one counts as misrouted. */
  readonly serviceName: string;
  /** The service address that callers use; packets for another one are not served. */
  readonly serviceAddress: Address;
  /** Where answers go: the fabric. */
  readonly fabricAddress: Address;
  /** Requests that run at the same time. */
  readonly slots: number;
  /** Open flows that it holds. */
  readonly connectionLimit: number;
  /** Requests that wait for a slot; more are refused. */
  readonly queueLimit: number;
  /** Mean time that a request runs; the times are exponential. */
  readonly meanServiceTimeMs: number;
  /** Time after the start in which it reports `starting`. */
  readonly warmUpMs: number;
  /** Half-open flows without a request end after this time. */
  readonly halfOpenTimeoutMs: number;
  /** Times and bounds that differ from the defaults. */
  readonly tuning?: Partial<BackendTuning> | undefined;
  /** How it misbehaves; absent for a good back end. */
  readonly faults?: BackendFaults | undefined;
}

/** Times and bounds; in milliseconds where not said otherwise. */
export interface BackendTuning {
  /** A drain sends go-away to flows that make requests within this time. */
  readonly goAwaySpreadMs: number;
  /** A drain sends go-away to at most this many flows a second that only hold a feed. */
  readonly feedMovesPerSecond: number;
  /** From this time after the start of a drain, new requests are refused as "not run". */
  readonly drainAcceptWorkMs: number;
  /** Flows that have not left this long after the start of a drain are closed. */
  readonly drainGraceMs: number;
  /** First and longest time until go-away is sent again. */
  readonly goAwayRetransmitMs: number;
  readonly goAwayRetransmitMaxMs: number;
  /** First and longest time until unacknowledged notices are sent again. */
  readonly noticeRetransmitMs: number;
  readonly noticeRetransmitMaxMs: number;
  /** Notices of one feed that may be unacknowledged at a time. */
  readonly noticeWindow: number;
  /** Notices that the log holds. */
  readonly noticeLogCapacity: number;
  /** A feed that acknowledges nothing for this time is closed. */
  readonly feedTimeoutMs: number;
  /** A flow without feed and unfinished request that is silent for this time is ended. */
  readonly flowIdleTimeoutMs: number;
  /** How long the token of a closed flow is remembered: no packet may be older than this. */
  readonly closedFlowMemoryMs: number;
  /** Closed flows that are remembered at a time; opens beyond it are refused. */
  readonly closedFlowLimit: number;
}

/** Times and bounds that apply where the options give none. */
export const defaultBackendTuning: BackendTuning = {
  goAwaySpreadMs: 2_000,
  feedMovesPerSecond: 100,
  drainAcceptWorkMs: 3_000,
  drainGraceMs: 60_000,
  goAwayRetransmitMs: 500,
  goAwayRetransmitMaxMs: 4_000,
  noticeRetransmitMs: 250,
  noticeRetransmitMaxMs: 4_000,
  noticeWindow: 32,
  noticeLogCapacity: 4_096,
  feedTimeoutMs: 60_000,
  flowIdleTimeoutMs: 3_600_000,
  closedFlowMemoryMs: 60_000,
  closedFlowLimit: 100_000,
};

/** Ways to misbehave; each may be combined with the others. */
export interface BackendFaults {
  /** Service times are longer by `coldStartFactor` for this time after the start. */
  readonly coldStartMs?: number | undefined;
  readonly coldStartFactor?: number | undefined;
  /** Refuses every open and request as overloaded. */
  readonly refusesAll?: boolean | undefined;
  /** Answers no open, though its health says `ready`. */
  readonly ignoresOpens?: boolean | undefined;
  /** Its load report says that it is idle. */
  readonly reportsIdle?: boolean | undefined;
  /** Its load report no longer changes from this time after the start. */
  readonly freezesLoadAfterMs?: number | undefined;
  /** Its health turns between `ready` and `starting` each time this period has passed. */
  readonly flapPeriodMs?: number | undefined;
  /** Starts its drain only this long after it was asked to. */
  readonly drainDelayMs?: number | undefined;
  /** Goes on as if it had not been asked to drain. */
  readonly ignoresDrain?: boolean | undefined;
}
