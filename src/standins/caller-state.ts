/**
 * @file The state of a stand-in caller: one session, which opens a flow, sends requests one after
 * the other, and moves to another flow when it is told to.
 */
import type { ErrorKind } from '../flow/error-kinds.js';

/** Options of a caller; times in milliseconds. */
export interface CallerOptions {
  readonly serviceName: string;
  /** How many requests the session makes. */
  readonly requestCount: number;
  /** Number of its first request; numbers are unique in a run. */
  readonly firstRequestNumber: number;
  readonly answerBytes: number;
  /** Pause between an answer and the next request. */
  readonly pauseMs: number;
  /** Time for one request, its open included. */
  readonly requestDeadlineMs: number;
  /** Time for one open. */
  readonly openDeadlineMs: number;
  /** Time after which an unanswered packet is sent again. */
  readonly retransmitMs: number;
}

/** How a request ended, as far as its caller knows. */
export type RequestOutcome =
  | { readonly type: 'answered'; readonly requestNumber: number; readonly latencyMs: number }
  | { readonly type: 'not-run'; readonly requestNumber: number; readonly kind: ErrorKind }
  | { readonly type: 'unknown'; readonly requestNumber: number; readonly kind: ErrorKind };

/** The request that the session works on. */
export interface CallerRequest {
  readonly requestNumber: number;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  /** True once it was sent under some flow: from then on it may have run. */
  sent: boolean;
  /** Parts of the answer by number. */
  parts: (Uint8Array | undefined)[];
}

/** The flow of a session: its named states. */
export type CallerFlow =
  | { readonly phase: 'none'; readonly openAfterMs: number }
  | { readonly phase: 'opening'; readonly flowId: Uint8Array; readonly deadlineAtMs: number }
  | {
      readonly phase: 'open';
      readonly flowId: Uint8Array;
      readonly token: Uint8Array;
      /** True once the back end sent go-away: the next request takes another flow. */
      leaving: boolean;
    };

/** The state of a caller. */
export interface CallerState {
  readonly options: CallerOptions;
  flow: CallerFlow;
  request: CallerRequest | undefined;
  requestsStarted: number;
  nextRequestAtMs: number;
  retransmitAtMs: number;
  /** Established flows that were lost, not ended. */
  brokenFlows: number;
  /** Answers that came whole but with wrong bytes. */
  wrongAnswers: number;
  finished: boolean;
}

/**
 * @returns a session that begins now
 */
export function createCallerState(options: CallerOptions, nowMs: number): CallerState {
  return {
    options,
    flow: { phase: 'none', openAfterMs: nowMs },
    request: undefined,
    requestsStarted: 0,
    nextRequestAtMs: nowMs,
    retransmitAtMs: nowMs,
    brokenFlows: 0,
    wrongAnswers: 0,
    finished: false,
  };
}
