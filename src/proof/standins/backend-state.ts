/**
 * @file State of a stand-in back end: flows, feeds, request slots, and the request records that ensure
 * at-most-once execution.
 */
import type { Address } from '../../shared/common/address.js';
import type { Message } from '../../managed/flow/messages.js';
import type { HealthReport, LoadReport } from '../../managed/health/backend-report.js';
import {
  defaultBackendTuning,
  type BackendOptions,
  type BackendTuning,
} from './backend-options.js';
import { NoticeLog } from './notice-log.js';
import type { RetransmitTimer } from './retransmit-timer.js';
import type { Work } from './workload.js';

export type { BackendOptions } from './backend-options.js';

/** Phase of a request. */
export type RequestPhase = 'queued' | 'running' | 'done' | 'refused';

/** Record of a request on a flow. */
export interface RequestRecord {
  readonly flow: BackendFlow;
  readonly requestId: number;
  /** Undefined for a feed, and for a request that was cancelled before it arrived. */
  readonly work: Work | undefined;
  deadlineAtMs: number;
  phase: RequestPhase;
  finishAtMs: number;
  /** Messages to resend when a copy of the request arrives. */
  answer: Message[];
  answerSentAtMs: number;
}

/** Subscription of a flow to the notice log. */
export interface BackendFeed {
  readonly flow: BackendFlow;
  readonly requestId: number;
  /** True until the feed is positioned at the oldest notice of the log. */
  startsAtOldest: boolean;
  /** Number of the last notice acknowledged by the caller. */
  lastAcknowledged: number;
  /** Number of the last notice sent at least once. */
  lastSent: number;
  /** When the caller last acknowledged a notice, or had none to acknowledge. */
  lastProgressAtMs: number;
  readonly timer: RetransmitTimer;
}

/** An open flow. */
export interface BackendFlow {
  /** The routing token in hex. */
  readonly tokenKey: string;
  readonly flowId: Uint8Array;
  client: Address;
  readonly openedAtMs: number;
  lastReceivedAtMs: number;
  readonly requests: Map<number, RequestRecord>;
  readonly feeds: Map<number, BackendFeed>;
  /** Upper end of the window of request IDs; IDs below the window never run. */
  highestRequestId: number | undefined;
  /** True once a request has started to run or a feed has been created. */
  hasExecutedWork: boolean;
  /** True once the flow has sent a request other than a subscription. */
  makesRequests: boolean;
  /** Retransmission timer; undefined until go-away has been sent. */
  goAway: RetransmitTimer | undefined;
}

/** Record of a closed flow, which detects late copies of its packets. */
export interface ClosedFlow {
  readonly expiresAtMs: number;
  /** Requests with higher IDs did not run and never will. */
  readonly lastPossiblyRunRequestId: number;
}

/** A drain in progress. */
export interface BackendDrain {
  readonly startedAtMs: number;
  /** Flows to which go-away has not been sent yet, in sending order. */
  readonly pendingRequestFlows: BackendFlow[];
  readonly pendingFeedFlows: BackendFlow[];
  /** Number of flows of each kind at the start of the drain. */
  readonly requestFlowCount: number;
  readonly feedFlowCount: number;
}

/** IDs that the control plane assigned to the back end. */
export interface BackendAssignment {
  readonly serviceId: number;
  readonly backendId: number;
}

/** The state of a stand-in back end. */
export interface BackendState {
  readonly options: BackendOptions;
  readonly tuning: BackendTuning;
  incarnation: number;
  startedAtMs: number;
  /** End of the downtime after a simulated crash. */
  downUntilMs: number;
  assignment: BackendAssignment | undefined;
  draining: boolean;
  drain: BackendDrain | undefined;
  /** Start time of a requested drain; undefined without a request. */
  drainDueAtMs: number | undefined;
  readonly flows: Map<string, BackendFlow>;
  /** By token in hex, in order of closing. */
  readonly closedFlows: Map<string, ClosedFlow>;
  readonly feeds: Set<BackendFeed>;
  notices: NoticeLog;
  readonly queue: RequestRecord[];
  readonly running: Set<RequestRecord>;
  /** Load report returned from now on, for the fault `freezesLoadAfterMs`. */
  frozenLoad: LoadReport | undefined;
  /** Request numbers in order of execution, for test oracles. */
  readonly executedRequests: number[];
  /** Number of packets and requests received that belong to another service. */
  misrouted: number;
  /** Total time that slots were busy up to `busyUpdatedAtMs`. */
  busySlotMs: number;
  busyUpdatedAtMs: number;
  /** Time of the next check of all flows and feeds for timeouts. */
  nextSweepAtMs: number;
}

/**
 * @param incarnation 32 bits; unique among the starts of a back end
 * @returns the state of a back end that starts now
 */
export function createBackendState(
  options: BackendOptions,
  incarnation: number,
  nowMs: number,
): BackendState {
  const tuning = { ...defaultBackendTuning, ...options.tuning };
  return {
    options,
    tuning,
    incarnation,
    startedAtMs: nowMs,
    downUntilMs: nowMs,
    assignment: undefined,
    draining: false,
    drain: undefined,
    drainDueAtMs: undefined,
    flows: new Map(),
    closedFlows: new Map(),
    feeds: new Set(),
    notices: new NoticeLog(tuning.noticeLogCapacity),
    queue: [],
    running: new Set(),
    frozenLoad: undefined,
    executedRequests: [],
    misrouted: 0,
    busySlotMs: 0,
    busyUpdatedAtMs: nowMs,
    nextSweepAtMs: nowMs,
  };
}

/**
 * Simulates a crash and a restart at the same address. Data for test oracles is kept.
 * @param incarnation of the restarted process
 */
export function crashBackend(
  state: BackendState,
  incarnation: number,
  downMs: number,
  nowMs: number,
): void {
  updateBusySlotMs(state, nowMs);
  state.incarnation = incarnation;
  state.downUntilMs = nowMs + downMs;
  state.startedAtMs = state.downUntilMs;
  state.assignment = undefined;
  state.draining = false;
  state.drain = undefined;
  state.drainDueAtMs = undefined;
  state.frozenLoad = undefined;
  state.notices = new NoticeLog(state.tuning.noticeLogCapacity);
  state.queue.length = 0;
  [state.flows, state.closedFlows, state.feeds, state.running].forEach((collection) =>
    collection.clear(),
  );
}

/**
 * Adds the time since the last update to `busySlotMs`. Must be called before `running` changes and
 * before `busySlotMs` is read.
 */
export function updateBusySlotMs(state: BackendState, nowMs: number): void {
  state.busySlotMs += state.running.size * (nowMs - state.busyUpdatedAtMs);
  state.busyUpdatedAtMs = nowMs;
}

/**
 * @returns true during the downtime after a crash, when all input is ignored
 */
export function isDown(state: BackendState, nowMs: number): boolean {
  return nowMs < state.downUntilMs;
}

/**
 * @returns true if a request of the flow is queued or running
 */
export function hasUnfinishedRequest(flow: BackendFlow): boolean {
  for (const record of flow.requests.values()) {
    if (record.phase === 'queued' || record.phase === 'running') {
      return true;
    }
  }
  return false;
}

/**
 * @returns true if a drain has lasted so long that new requests on established flows are refused
 */
export function refusesNewWork(state: BackendState, nowMs: number): boolean {
  const { drain, tuning } = state;
  return drain !== undefined && nowMs >= drain.startedAtMs + tuning.drainAcceptRequestsMs;
}

/**
 * @returns the response body of `GET /health`
 */
export function healthReport(state: BackendState, nowMs: number): HealthReport {
  const { incarnation, assignment } = state;
  const identity = { incarnation, ...(assignment && { backendId: assignment.backendId }) };
  if (state.draining) {
    return { ...identity, state: 'draining' };
  }
  const ageMs = nowMs - state.startedAtMs;
  const period = state.options.faults?.flapPeriodMs ?? Infinity;
  const isFlappedDown = Math.floor(ageMs / period) % 2 === 1;
  const ready = ageMs >= state.options.warmUpMs && !isFlappedDown;
  return { ...identity, state: ready ? 'ready' : 'starting' };
}

/**
 * @returns the response body of `GET /load`
 */
export function loadReport(state: BackendState): LoadReport {
  if (state.frozenLoad !== undefined) {
    return state.frozenLoad;
  }
  const { connectionLimit, slots, faults } = state.options;
  const idle = faults?.reportsIdle === true;
  return {
    connections: idle ? 0 : state.flows.size,
    connectionLimit,
    busySlots: idle ? 0 : state.running.size,
    slots,
    queuedRequests: idle ? 0 : state.queue.length,
  };
}
