/**
 * @file The state of a stand-in back end: slots, connections, feeds, and a record of each request,
 * by which it runs every request at most once.
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

/** How far a request has come. */
export type RequestPhase = 'queued' | 'running' | 'done' | 'refused';

/** A request that came under a flow. */
export interface RequestRecord {
  readonly flow: BackendFlow;
  readonly requestId: number;
  /** Absent where the request was cancelled before it came. */
  readonly work: Work | undefined;
  deadlineAtMs: number;
  phase: RequestPhase;
  finishAtMs: number;
  /** What was answered; sent again when the request comes again. */
  answer: Message[];
  answerSentAtMs: number;
}

/** A feed that a flow has subscribed to. */
export interface BackendFeed {
  readonly flow: BackendFlow;
  readonly requestId: number;
  /** True until the number of its first notice is known. */
  beginsAtOldest: boolean;
  /** The caller has all notices up to this number. */
  acknowledged: number;
  /** Notices up to this number have been sent at least once. */
  sent: number;
  /** When the caller last acknowledged something, or had nothing to acknowledge. */
  progressAtMs: number;
  readonly timer: RetransmitTimer;
}

/** A flow. */
export interface BackendFlow {
  /** The routing token in hex. */
  readonly tokenKey: string;
  readonly flowId: Uint8Array;
  client: Address;
  readonly openedAtMs: number;
  heardAtMs: number;
  readonly requests: Map<number, RequestRecord>;
  readonly feeds: Map<number, BackendFeed>;
  /** Highest request ID that came; IDs lower by the window are forgotten and never run. */
  highestRequestId: number | undefined;
  /** True once any request under it has started to run, or a feed has stood. */
  hasRun: boolean;
  /** True once it asked for more than a feed. */
  makesRequests: boolean;
  /** Sends go-away again; present once go-away was sent to the flow. */
  goAway: RetransmitTimer | undefined;
}

/** What is remembered of a closed flow, so that late copies of its packets bring nothing back. */
export interface ClosedFlow {
  readonly forgetAtMs: number;
  /** A request with a higher ID did not run, and since the flow is closed it never will. */
  readonly mayHaveRunUpTo: number;
}

/** The drain that is under way. */
export interface BackendDrain {
  readonly startedAtMs: number;
  /** Flows without a go-away yet, in the order in which they get it. */
  readonly requestFlows: BackendFlow[];
  readonly feedFlows: BackendFlow[];
  /** How many had to get it at the start. */
  readonly requestFlowCount: number;
  readonly feedFlowCount: number;
}

/** Which back end this process is, as the control machines know it. */
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
  /** After a crash: the process is down until then. */
  downUntilMs: number;
  assignment: BackendAssignment | undefined;
  draining: boolean;
  drain: BackendDrain | undefined;
  /** When a drain that was asked for starts. */
  drainDueAtMs: number | undefined;
  readonly flows: Map<string, BackendFlow>;
  /** By token in hex; the oldest first. */
  readonly closedFlows: Map<string, ClosedFlow>;
  readonly feeds: Set<BackendFeed>;
  notices: NoticeLog;
  readonly queue: RequestRecord[];
  readonly running: Set<RequestRecord>;
  /** The load report that is given from now on. */
  frozenLoad: LoadReport | undefined;
  /** Request numbers in the order in which they ran; for the oracle. */
  readonly runs: number[];
  /** Packets or work that were meant for another service. */
  misrouted: number;
  /** Time that requests have spent in slots up to `busyNotedAtMs`, added up, in milliseconds. */
  busySlotMs: number;
  busyNotedAtMs: number;
  /** When every flow and feed is looked at next. */
  sweepAtMs: number;
}

/**
 * @param incarnation 32 bits; differs from that of every earlier start
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
    runs: [],
    misrouted: 0,
    busySlotMs: 0,
    busyNotedAtMs: nowMs,
    sweepAtMs: nowMs,
  };
}

/**
 * The process dies with all that it holds in memory, and starts again at the same address. What the
 * oracle keeps stays.
 * @param incarnation of the next start
 */
export function crashBackend(
  state: BackendState,
  incarnation: number,
  downMs: number,
  nowMs: number,
): void {
  recordBusySlots(state, nowMs);
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
  [state.flows, state.closedFlows, state.feeds, state.running].forEach((held) => held.clear());
}

/**
 * Adds up the time in slots; called before the number of running requests changes, and before the sum
 * is read.
 */
export function recordBusySlots(state: BackendState, nowMs: number): void {
  state.busySlotMs += state.running.size * (nowMs - state.busyNotedAtMs);
  state.busyNotedAtMs = nowMs;
}

/**
 * @returns true while the process is down after a crash: it takes nothing and answers nothing
 */
export function isDown(state: BackendState, nowMs: number): boolean {
  return nowMs < state.downUntilMs;
}

/**
 * @returns true where a request of the flow waits or runs
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
 * @returns true where new requests of established flows are refused, since the drain has gone on for
 *   longer than callers need to leave
 */
export function refusesWork(state: BackendState, nowMs: number): boolean {
  const { drain, tuning } = state;
  return drain !== undefined && nowMs >= drain.startedAtMs + tuning.drainAcceptWorkMs;
}

/**
 * @returns the answer of `GET /health`
 */
export function healthReport(state: BackendState, nowMs: number): HealthReport {
  const { incarnation, assignment } = state;
  const identity = { incarnation, ...(assignment && { backendId: assignment.backendId }) };
  if (state.draining) {
    return { ...identity, state: 'draining' };
  }
  const ageMs = nowMs - state.startedAtMs;
  const period = state.options.faults?.flapPeriodMs ?? Infinity;
  const flapped = Math.floor(ageMs / period) % 2 === 1;
  const ready = ageMs >= state.options.warmUpMs && !flapped;
  return { ...identity, state: ready ? 'ready' : 'starting' };
}

/**
 * @returns the answer of `GET /load`
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
