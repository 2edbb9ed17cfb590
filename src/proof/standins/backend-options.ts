/**
 * @file Options of a stand-in back end: capacity, timing and injected faults.
 */
import type { Address } from '../../shared/common/address.js';

/** Options of a stand-in back end; times in milliseconds. */
export interface BackendOptions {
  /** Requests for another service count as misrouted. */
  readonly serviceName: string;
  /** Address that callers use; packets for another address count as misrouted. */
  readonly serviceAddress: Address;
  /** Fabric address to which answers are sent. */
  readonly fabricAddress: Address;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Maximum number of open flows. */
  readonly connectionLimit: number;
  /** Maximum number of queued requests; further ones are refused. */
  readonly queueLimit: number;
  /** Mean of the exponentially distributed service time. */
  readonly meanServiceTimeMs: number;
  /** Time after the start during which the back end reports `starting`. */
  readonly warmUpMs: number;
  /** Flows that have received no request are closed after this time. */
  readonly halfOpenTimeoutMs: number;
  /** Overrides of the defaults. */
  readonly tuning?: Partial<BackendTuning> | undefined;
  /** Faults to inject; absent for a back end that works correctly. */
  readonly faults?: BackendFaults | undefined;
}

/** Timing and limits of a stand-in back end. */
export interface BackendTuning {
  /** Time over which a drain sends go-away to the flows that make requests. */
  readonly goAwaySpreadMs: number;
  /** Rate at which a drain sends go-away to the flows that only hold a feed. */
  readonly feedMovesPerSecond: number;
  /** New requests are still accepted for this time after the start of a drain. */
  readonly drainAcceptRequestsMs: number;
  /** Time from the start of a drain until remaining flows are closed. */
  readonly drainGraceMs: number;
  /** Initial and maximum retransmission delay of a go-away. */
  readonly goAwayRetransmitMs: number;
  readonly goAwayRetransmitMaxMs: number;
  /** Initial and maximum retransmission delay of unacknowledged notices. */
  readonly noticeRetransmitMs: number;
  readonly noticeRetransmitMaxMs: number;
  /** Maximum number of unacknowledged notices of a feed. */
  readonly noticeWindow: number;
  /** Maximum number of notices in the log. */
  readonly noticeLogCapacity: number;
  /** A feed without an acknowledgement for this time is closed. */
  readonly feedTimeoutMs: number;
  /** An idle flow, without feeds and unfinished requests, is closed after this time. */
  readonly flowIdleTimeoutMs: number;
  /** Retention of the token of a closed flow; longer than the maximum lifetime of a packet. */
  readonly closedFlowRetentionMs: number;
  /** Maximum number of retained closed flows; at the limit, opens are refused. */
  readonly closedFlowLimit: number;
}

/** Defaults, which `BackendOptions.tuning` overrides. */
export const defaultBackendTuning: BackendTuning = {
  goAwaySpreadMs: 2_000,
  feedMovesPerSecond: 100,
  drainAcceptRequestsMs: 3_000,
  drainGraceMs: 60_000,
  goAwayRetransmitMs: 500,
  goAwayRetransmitMaxMs: 4_000,
  noticeRetransmitMs: 250,
  noticeRetransmitMaxMs: 4_000,
  noticeWindow: 32,
  noticeLogCapacity: 4_096,
  feedTimeoutMs: 60_000,
  flowIdleTimeoutMs: 3_600_000,
  closedFlowRetentionMs: 60_000,
  closedFlowLimit: 100_000,
};

/** Faults to inject, in any combination; times in milliseconds. */
export interface BackendFaults {
  /** Service times are multiplied by `coldStartFactor` for this time after the start. */
  readonly coldStartMs?: number | undefined;
  readonly coldStartFactor?: number | undefined;
  /** Refuses every open and request as overloaded. */
  readonly refusesAll?: boolean | undefined;
  /** Ignores opens while reporting `ready`. */
  readonly ignoresOpens?: boolean | undefined;
  /** Reports zero load. */
  readonly reportsIdle?: boolean | undefined;
  /** The load report stops changing this long after the start. */
  readonly freezesLoadAfterMs?: number | undefined;
  /** The health state changes between `ready` and `starting` after each such period. */
  readonly flapPeriodMs?: number | undefined;
  /** Delay between a drain request and the start of the drain. */
  readonly drainDelayMs?: number | undefined;
  /** Ignores drain requests. */
  readonly ignoresDrain?: boolean | undefined;
}
