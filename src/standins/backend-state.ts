/**
 * @file The state of a stand-in back end: slots, connections, and a record of each request, by which
 * it runs every request at most once.
 */
import type { Address } from '../common/address.js';
import type { Message } from '../flow/messages.js';
import type { HealthReport, LoadReport } from '../health/backend-report.js';
import type { Work } from './workload.js';

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
}

/** How far a request has come. */
export type RequestPhase = 'queued' | 'running' | 'done' | 'refused';

/** A request that came under a flow. */
export interface RequestRecord {
  readonly flow: BackendFlow;
  readonly requestId: number;
  readonly work: Work;
  readonly deadlineAtMs: number;
  phase: RequestPhase;
  finishAtMs: number;
  /** What was answered; sent again when the request comes again. */
  answer: Message[];
}

/** A flow. */
export interface BackendFlow {
  /** The routing token in hex. */
  readonly tokenKey: string;
  readonly flowId: Uint8Array;
  client: Address;
  readonly openedAtMs: number;
  readonly requests: Map<number, RequestRecord>;
}

/** The state of a stand-in back end. */
export interface BackendState {
  readonly options: BackendOptions;
  readonly incarnation: number;
  readonly startedAtMs: number;
  draining: boolean;
  readonly flows: Map<string, BackendFlow>;
  readonly queue: RequestRecord[];
  readonly running: Set<RequestRecord>;
  /** Request numbers in the order in which they ran; for the oracle. */
  readonly runs: number[];
  /** Packets or work that were meant for another service. */
  misrouted: number;
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
  return {
    options,
    incarnation,
    startedAtMs: nowMs,
    draining: false,
    flows: new Map(),
    queue: [],
    running: new Set(),
    runs: [],
    misrouted: 0,
  };
}

/**
 * @returns the answer of `GET /health`
 */
export function healthReport(state: BackendState, nowMs: number): HealthReport {
  const { incarnation } = state;
  if (state.draining) {
    return { incarnation, state: 'draining' };
  }
  const warm = nowMs - state.startedAtMs >= state.options.warmUpMs;
  return { incarnation, state: warm ? 'ready' : 'starting' };
}

/**
 * @returns the answer of `GET /load`
 */
export function loadReport(state: BackendState): LoadReport {
  return {
    connections: state.flows.size,
    connectionLimit: state.options.connectionLimit,
    busySlots: state.running.size,
    slots: state.options.slots,
    queuedRequests: state.queue.length,
  };
}
