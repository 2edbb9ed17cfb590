/**
 * @file State of a stand-in caller: one session with sequential requests, an optional feed and the
 * flows that carry them.
 */
import type { StepContext } from '../../shared/common/step.js';
import type { ErrorKind } from '../../shared/common/error-kinds.js';
import { encodeShortHeader } from '../../managed/flow/header.js';
import { encodeMessage, type Message } from '../../managed/flow/messages.js';
import { RetransmitTimer } from './retransmit-timer.js';

const DEFAULT_MAX_RETRANSMIT_FACTOR = 8;
/** Number of recently closed flows whose late packets are answered with another close. */
const MAX_CLOSED_FLOWS = 8;

/** Options of a caller; times in milliseconds. */
export interface CallerOptions {
  readonly serviceName: string;
  /** Maximum number of requests. */
  readonly requestCount: number;
  /** Time after the start of the session from which no request is started. Default: unlimited. */
  readonly stopAfterMs?: number | undefined;
  /** Number of the first request; numbers are unique across the sessions of a run. */
  readonly firstRequestNumber: number;
  readonly answerBytes: number;
  /** Time between an answer and the next request. */
  readonly pauseMs: number;
  /** Deadline of a request, including the time to open a flow. */
  readonly requestDeadlineMs: number;
  /** Deadline of an open. */
  readonly openDeadlineMs: number;
  /** Initial retransmission delay. */
  readonly retransmitMs: number;
  /** Maximum retransmission delay. Default: 8 times `retransmitMs`. */
  readonly retransmitMaxMs?: number | undefined;
  /** Feed to hold in parallel with the requests. */
  readonly feed?: FeedOptions | undefined;
  /** Time after the start of a request at which it is cancelled. Default: never. */
  readonly cancelAfterMs?: number | undefined;
  /** Fault: the caller ignores go-away and stays on its flow. */
  readonly ignoresGoAway?: boolean | undefined;
}

/** Options of a feed. */
export interface FeedOptions {
  /** Number of the last notice that the caller already has; 0 for none. */
  readonly afterNotice: number;
  /** The feed ends once this notice has been delivered, or at its deadline. */
  readonly lastNotice: number;
  readonly deadlineMs: number;
}

/** Outcome of a request as observed by its caller. */
export type RequestOutcome =
  | { readonly type: 'answered'; readonly requestNumber: number; readonly latencyMs: number }
  | { readonly type: 'not-run'; readonly requestNumber: number; readonly kind: ErrorKind }
  | { readonly type: 'unknown'; readonly requestNumber: number; readonly kind: ErrorKind };

/** Output of a caller: a packet to its service, or an event for its application. */
export type CallerEffect =
  | { readonly type: 'send'; readonly packet: Uint8Array }
  | { readonly type: 'outcome'; readonly outcome: RequestOutcome }
  /** A notice of the feed; delivered in order, exactly once. */
  | { readonly type: 'notice'; readonly number: number; readonly payload: Uint8Array }
  /** Notices from `first` to `last` are no longer available; the feed continues after them. */
  | { readonly type: 'notices-missed'; readonly first: number; readonly last: number };

/** A request in progress. */
export interface CallerRequest {
  readonly requestNumber: number;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  /** Flow on which the request was sent and may have run; undefined if it has not been sent. */
  flow: OpenFlow | undefined;
  /** ID of the request on that flow. */
  requestId: number;
  cancelled: boolean;
  timer: RetransmitTimer | undefined;
  /** Received parts of the answer, by number. */
  readonly parts: Map<number, Uint8Array>;
}

/** An established flow. */
export interface OpenFlow {
  readonly phase: 'open';
  readonly flowId: Uint8Array;
  readonly token: Uint8Array;
  /** True once new requests and feeds use another flow, for example after a go-away. */
  retiring: boolean;
  /** False once the back end has refused a request on the flow. */
  acceptsRequests: boolean;
}

/** State of the newest flow of a session. */
export type CallerFlow =
  | { readonly phase: 'none'; readonly openAfterMs: number }
  | {
      readonly phase: 'opening';
      readonly flowId: Uint8Array;
      readonly deadlineAtMs: number;
      readonly timer: RetransmitTimer;
    }
  | OpenFlow;

/** Subscription of a feed on one flow. */
export interface FeedSubscription {
  readonly flow: OpenFlow;
  readonly requestId: number;
  /** True once the back end has confirmed the subscription. */
  confirmed: boolean;
  requestedAtMs: number;
  /** When the last message for the subscription arrived. */
  lastReceivedAtMs: number;
  /** Retransmits the request until it is confirmed, and for keep-alive checks. */
  readonly timer: RetransmitTimer;
}

/** State of the feed of a session. */
export interface CallerFeed {
  readonly lastNotice: number;
  readonly deadlineAtMs: number;
  /** Number of the last notice delivered in order. */
  lastDelivered: number;
  /** True once the number of the first notice of the feed has been determined. */
  positionKnown: boolean;
  /** Notices received ahead of an earlier missing one, by number. */
  readonly outOfOrder: Map<number, Uint8Array>;
  /** The confirmed subscription. */
  current: FeedSubscription | undefined;
  /** Its replacement, until that is confirmed. */
  next: FeedSubscription | undefined;
  /** Consecutive refusals because a back end no longer held the next notice. */
  gapRefusals: number;
}

/** The state of a caller. */
export interface CallerState {
  readonly options: CallerOptions;
  flow: CallerFlow;
  /** Flows that accept nothing new but may still carry a request or the feed. */
  readonly retiringFlows: OpenFlow[];
  /** Recently closed flows, the newest last. */
  readonly closedFlows: OpenFlow[];
  request: CallerRequest | undefined;
  feed: CallerFeed | undefined;
  requestsStarted: number;
  nextRequestAtMs: number;
  /** Time from which no request is started. */
  readonly stopAtMs: number;
  /** Shared by all flows of the session, so that IDs increase on each flow. */
  nextRequestId: number;
  /** Number of established flows that were lost rather than closed normally. */
  brokenFlows: number;
  /** Number of complete answers with unexpected content. */
  wrongAnswers: number;
  finished: boolean;
}

/**
 * @returns the state of a session that starts now
 */
export function createCallerState(options: CallerOptions, nowMs: number): CallerState {
  const { feed } = options;
  return {
    options,
    flow: { phase: 'none', openAfterMs: nowMs },
    retiringFlows: [],
    closedFlows: [],
    request: undefined,
    feed: feed && {
      lastNotice: feed.lastNotice,
      deadlineAtMs: nowMs + feed.deadlineMs,
      lastDelivered: feed.afterNotice,
      positionKnown: feed.afterNotice > 0,
      outOfOrder: new Map(),
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
 * @returns true if the session starts no further requests
 */
export function hasStartedAllRequests(state: CallerState, nowMs: number): boolean {
  return state.requestsStarted >= state.options.requestCount || nowMs >= state.stopAtMs;
}

/**
 * @returns a running retransmission timer for a packet that is sent now
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
 * @returns the flow with this ID, or undefined if there is none
 */
export function findFlow(flows: readonly OpenFlow[], flowId: Uint8Array): OpenFlow | undefined {
  return flows.find((flow) => Buffer.compare(flow.flowId, flowId) === 0);
}

/**
 * Removes a flow from the state without notifying the back end.
 */
export function removeFlow(state: CallerState, flow: OpenFlow, openAfterMs: number): void {
  if (state.flow === flow) {
    state.flow = { phase: 'none', openAfterMs };
  }
  const position = state.retiringFlows.indexOf(flow);
  if (position >= 0) {
    state.retiringFlows.splice(position, 1);
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
 * Closes a flow and notifies the back end.
 * @param openAfterMs earliest time of the next open, if this was the newest flow
 */
export function closeFlow(state: CallerState, flow: OpenFlow, openAfterMs: number): CallerEffect {
  removeFlow(state, flow, openAfterMs);
  state.closedFlows.push(flow);
  if (state.closedFlows.length > MAX_CLOSED_FLOWS) {
    state.closedFlows.shift();
  }
  return sendOnFlow(flow, { type: 'close' });
}

/**
 * Stops using a flow for new work; the flow stays open until its request and feed have finished.
 * @param openAfterMs earliest time of the next open
 */
export function retireFlow(state: CallerState, flow: OpenFlow, openAfterMs: number): void {
  flow.retiring = true;
  if (state.flow === flow) {
    state.flow = { phase: 'none', openAfterMs };
    state.retiringFlows.push(flow);
  }
}
