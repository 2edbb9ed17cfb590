/**
 * @file The state of a stand-in caller: one session, which opens a flow, sends requests one after
 * the other, may hold a feed, and moves to another flow after a go-away.
 */
import type { StepContext } from '../../shared/common/step.js';
import type { ErrorKind } from '../../shared/common/error-kinds.js';
import { encodeShortHeader } from '../../managed/flow/header.js';
import { encodeMessage, type Message } from '../../managed/flow/messages.js';
import { RetransmitTimer } from './retransmit-timer.js';

const DEFAULT_MAX_RETRANSMIT_FACTOR = 8;
/** Closed flows whose late packets are answered by another close. */
const MAX_CLOSED_FLOWS = 8;

/** Options of a caller; times in milliseconds. */
export interface CallerOptions {
  readonly serviceName: string;
  /** How many requests the session makes at most. */
  readonly requestCount: number;
  /** No request is begun later than this after the start of the session. Default: no such bound. */
  readonly stopAfterMs?: number | undefined;
  /** Number of its first request; numbers are unique in a run. */
  readonly firstRequestNumber: number;
  readonly answerBytes: number;
  /** Pause between an answer and the next request. */
  readonly pauseMs: number;
  /** Time for one request, its open included. */
  readonly requestDeadlineMs: number;
  /** Time for one open. */
  readonly openDeadlineMs: number;
  /** Time after which an unanswered packet is sent again the first time. */
  readonly retransmitMs: number;
  /** Longest time between two copies. Default 8 times `retransmitMs`. */
  readonly retransmitMaxMs?: number | undefined;
  /** The feed that the session holds besides its requests. */
  readonly feed?: FeedOptions | undefined;
  /** Each request is cancelled this long after it was begun. */
  readonly cancelAfterMs?: number | undefined;
  /** A bad caller: stays on its flow whatever the back end says. */
  readonly ignoresGoAway?: boolean | undefined;
}

/** The feed of a session. */
export interface FeedOptions {
  /** The last notice that the caller has; 0 for none. */
  readonly afterNotice: number;
  /** The feed ends once this notice has been delivered, or when its time is up. */
  readonly lastNotice: number;
  readonly deadlineMs: number;
}

/** How a request ended, as far as its caller knows. */
export type RequestOutcome =
  | { readonly type: 'answered'; readonly requestNumber: number; readonly latencyMs: number }
  | { readonly type: 'not-run'; readonly requestNumber: number; readonly kind: ErrorKind }
  | { readonly type: 'unknown'; readonly requestNumber: number; readonly kind: ErrorKind };

/** What a caller does: sends a packet to its service, or reports to its application. */
export type CallerEffect =
  | { readonly type: 'send'; readonly packet: Uint8Array }
  | { readonly type: 'outcome'; readonly outcome: RequestOutcome }
  /** A notice of the feed, in order and once. */
  | { readonly type: 'notice'; readonly number: number; readonly payload: Uint8Array }
  /** Notices from `first` to `last` can't be had any more; the feed goes on after them. */
  | { readonly type: 'notices-missed'; readonly first: number; readonly last: number };

/** The request that the session works on. */
export interface CallerRequest {
  readonly requestNumber: number;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  /** The flow that it was sent on, and stays on: from then on it may have run. */
  flow: OpenFlow | undefined;
  /** Its ID under that flow. */
  requestId: number;
  cancelled: boolean;
  timer: RetransmitTimer | undefined;
  /** Parts of the answer by number. */
  readonly parts: Map<number, Uint8Array>;
}

/** A flow that stands. */
export interface OpenFlow {
  readonly phase: 'open';
  readonly flowId: Uint8Array;
  readonly token: Uint8Array;
  /** True once the back end sent go-away: what comes next takes another flow. */
  leaving: boolean;
  /** False once the back end refused a request on it. */
  takesRequests: boolean;
}

/** The newest flow of a session: its named states. */
export type CallerFlow =
  | { readonly phase: 'none'; readonly openAfterMs: number }
  | {
      readonly phase: 'opening';
      readonly flowId: Uint8Array;
      readonly deadlineAtMs: number;
      readonly timer: RetransmitTimer;
    }
  | OpenFlow;

/** A subscription: a feed under one flow. */
export interface FeedSubscription {
  readonly flow: OpenFlow;
  readonly requestId: number;
  /** True once the back end has confirmed it. */
  confirmed: boolean;
  askedAtMs: number;
  /** When anything last came on it. */
  heardAtMs: number;
  /** Sends the request again: while it is not confirmed, and to ask whether it still stands. */
  readonly timer: RetransmitTimer;
}

/** The feed of a session. */
export interface CallerFeed {
  readonly lastNotice: number;
  readonly deadlineAtMs: number;
  /** All notices up to this number have been delivered. */
  delivered: number;
  /** True once a back end has said where the feed begins. */
  positionKnown: boolean;
  /** Notices that came before one that precedes them. */
  readonly early: Map<number, Uint8Array>;
  /** The subscription that notices come from. */
  current: FeedSubscription | undefined;
  /** The one that takes its place: make before break. */
  next: FeedSubscription | undefined;
  /** Back ends in a row that no longer held the next notice. */
  gapRefusals: number;
}

/** The state of a caller. */
export interface CallerState {
  readonly options: CallerOptions;
  flow: CallerFlow;
  /** Flows that were left but still serve a request or the feed. */
  readonly oldFlows: OpenFlow[];
  /** Flows closed lately, the newest last. */
  readonly closedFlows: OpenFlow[];
  request: CallerRequest | undefined;
  feed: CallerFeed | undefined;
  requestsStarted: number;
  nextRequestAtMs: number;
  /** From then on no request is begun. */
  readonly stopAtMs: number;
  /** IDs grow over all flows of the session, so that they grow in each. */
  nextRequestId: number;
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
  const { feed } = options;
  return {
    options,
    flow: { phase: 'none', openAfterMs: nowMs },
    oldFlows: [],
    closedFlows: [],
    request: undefined,
    feed: feed && {
      lastNotice: feed.lastNotice,
      deadlineAtMs: nowMs + feed.deadlineMs,
      delivered: feed.afterNotice,
      positionKnown: feed.afterNotice > 0,
      early: new Map(),
      current: undefined,
      next: undefined,
      gapRefusals: 0,
    },
    requestsStarted: 0,
    nextRequestAtMs: nowMs,
    stopAtMs: nowMs + (options.stopAfterMs ?? Infinity),
    nextRequestId: 1,
    brokenFlows: 0,
    wrongAnswers: 0,
    finished: false,
  };
}

/**
 * @returns true where the session begins no further request
 */
export function hasBegunAllRequests(state: CallerState, nowMs: number): boolean {
  return state.requestsStarted >= state.options.requestCount || nowMs >= state.stopAtMs;
}

/**
 * @returns a timer for the copies of a packet that is sent now
 */
export function startRetransmitTimer(state: CallerState, context: StepContext): RetransmitTimer {
  const { retransmitMs, retransmitMaxMs } = state.options;
  const timer = new RetransmitTimer({
    initialDelayMs: retransmitMs,
    maxDelayMs: retransmitMaxMs ?? retransmitMs * DEFAULT_MAX_RETRANSMIT_FACTOR,
  });
  timer.restart(context);
  return timer;
}

/**
 * @returns the effect that sends a message on a flow
 */
export function sendOnFlow(flow: OpenFlow, message: Message): CallerEffect {
  return { type: 'send', packet: encodeShortHeader(flow.token, encodeMessage(message)) };
}

/**
 * @returns the flow that stands or stood lately with this ID
 */
export function findFlow(flows: readonly OpenFlow[], flowId: Uint8Array): OpenFlow | undefined {
  return flows.find((flow) => Buffer.compare(flow.flowId, flowId) === 0);
}

/**
 * Forgets a flow without a word to the back end.
 */
export function dropFlow(state: CallerState, flow: OpenFlow, openAfterMs: number): void {
  if (state.flow === flow) {
    state.flow = { phase: 'none', openAfterMs };
  }
  const position = state.oldFlows.indexOf(flow);
  if (position >= 0) {
    state.oldFlows.splice(position, 1);
  }
  const { feed } = state;
  if (feed?.current?.flow === flow) {
    feed.current = undefined;
  }
  if (feed?.next?.flow === flow) {
    feed.next = undefined;
  }
}

/**
 * Ends a flow that the session no longer needs.
 * @param openAfterMs when the next one may be opened, where it was the newest
 */
export function closeFlow(state: CallerState, flow: OpenFlow, openAfterMs: number): CallerEffect {
  dropFlow(state, flow, openAfterMs);
  state.closedFlows.push(flow);
  if (state.closedFlows.length > MAX_CLOSED_FLOWS) {
    state.closedFlows.shift();
  }
  return sendOnFlow(flow, { type: 'close' });
}

/**
 * The session leaves a flow: make before break, so it stays until nothing on it is needed.
 * @param openAfterMs when the next one may be opened
 */
export function leaveFlow(state: CallerState, flow: OpenFlow, openAfterMs: number): void {
  flow.leaving = true;
  if (state.flow === flow) {
    state.flow = { phase: 'none', openAfterMs };
    state.oldFlows.push(flow);
  }
}
