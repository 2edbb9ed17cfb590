/**
 * @file Flows of a stand-in caller: opens, retransmissions of opens, and closes.
 */
import type { StepContext } from '../../shared/common/step.js';
import { answerFor, type ErrorKind } from '../../shared/common/error-kinds.js';
import {
  encodeLongHeader,
  FLOW_ID_LENGTH_BYTES,
  parseLongHeader,
} from '../../managed/flow/header.js';
import { decodeMessage, encodeMessage, type RefuseMessage } from '../../managed/flow/messages.js';
import { TOKEN_LENGTH_BYTES } from '../../managed/flow/token.js';
import { endRequest, endWithUnknownOutcome } from './caller-request.js';
import {
  closeFlow,
  removeFlow,
  sendOnFlow,
  startRetransmitTimer,
  type CallerEffect,
  type CallerState,
  type OpenFlow,
} from './caller-state.js';

const BYTE_VALUES = 256;
const EMPTY_ID = new Uint8Array(0);

/**
 * Opens a flow if one is needed, retransmits or expires a pending open, and closes retiring flows
 * that are no longer in use.
 */
export function flowsTick(state: CallerState, context: StepContext): CallerEffect[] {
  return [...openTick(state, context), ...closeUnusedFlows(state)];
}

/**
 * Handles a long-header packet, which carries the reply to an open.
 */
export function handleOpenReply(
  state: CallerState,
  packet: Uint8Array,
  context: StepContext,
): CallerEffect[] {
  const header = parseLongHeader(packet);
  if (header.isErr() || state.flow.phase === 'none') {
    return [];
  }
  const { destinationId, sourceId, body } = header.value;
  const message = decodeMessage(body);
  if (message.isErr() || Buffer.compare(destinationId, state.flow.flowId) !== 0) {
    return [];
  }
  if (message.value.type === 'accept' && sourceId.length === TOKEN_LENGTH_BYTES) {
    return applyAccept(state, state.flow.flowId, Uint8Array.from(sourceId));
  }
  if (message.value.type === 'refuse' && state.flow.phase === 'opening') {
    const openAfterMs = context.nowMs + (message.value.retryAfterMs ?? 0);
    state.flow = { phase: 'none', openAfterMs };
    return handlePermanentOpenRefusal(state, message.value);
  }
  return [];
}

/**
 * Handles a close from the back end. The outcome of a request sent on the flow is unknown.
 * @param kind undefined if an idle flow timed out
 */
export function handleClose(
  state: CallerState,
  flow: OpenFlow,
  kind: ErrorKind | undefined,
  context: StepContext,
): CallerEffect[] {
  const { request } = state;
  const interruptsRequest = request?.flow === flow;
  state.brokenFlows += kind !== undefined || interruptsRequest ? 1 : 0;
  removeFlow(state, flow, context.nowMs);
  return interruptsRequest
    ? [endWithUnknownOutcome(state, request, kind ?? 'outcome-unknown', context)]
    : [];
}

function openTick(state: CallerState, context: StepContext): CallerEffect[] {
  const { flow } = state;
  if (flow.phase === 'none') {
    return context.nowMs >= flow.openAfterMs && needsFlow(state) ? startOpen(state, context) : [];
  }
  if (flow.phase === 'open') {
    return [];
  }
  if (context.nowMs >= flow.deadlineAtMs) {
    state.flow = { phase: 'none', openAfterMs: context.nowMs };
    return [];
  }
  if (!flow.timer.isDue(context.nowMs)) {
    return [];
  }
  flow.timer.backOff(context);
  return [sendOpen(flow.flowId, flow.deadlineAtMs - context.nowMs)];
}

function needsFlow(state: CallerState): boolean {
  const requestNeedsFlow = state.request !== undefined && state.request.flow === undefined;
  const feedNeedsFlow = state.feed !== undefined && state.feed.next === undefined;
  return requestNeedsFlow || feedNeedsFlow;
}

function startOpen(state: CallerState, context: StepContext): CallerEffect[] {
  const flowId = Uint8Array.from({ length: FLOW_ID_LENGTH_BYTES }, () =>
    context.random.nextInt(BYTE_VALUES),
  );
  const { openDeadlineMs } = state.options;
  state.flow = {
    phase: 'opening',
    flowId,
    deadlineAtMs: context.nowMs + openDeadlineMs,
    timer: startRetransmitTimer(state, context),
  };
  return [sendOpen(flowId, openDeadlineMs)];
}

function sendOpen(flowId: Uint8Array, deadlineMs: number): CallerEffect {
  const body = encodeMessage({ type: 'open', deadlineMs });
  return { type: 'send', packet: encodeLongHeader(EMPTY_ID, flowId, body) };
}

/** Copies of an open may reach two back ends; the flow accepted second is closed. */
function applyAccept(state: CallerState, flowId: Uint8Array, token: Uint8Array): CallerEffect[] {
  const accepted: OpenFlow = {
    phase: 'open',
    flowId,
    token,
    retiring: false,
    acceptsRequests: true,
  };
  if (state.flow.phase !== 'open') {
    state.flow = accepted;
    return [];
  }
  const isSame = Buffer.compare(state.flow.token, token) === 0;
  return isSame ? [] : [sendOnFlow(accepted, { type: 'close' })];
}

function handlePermanentOpenRefusal(state: CallerState, refusal: RefuseMessage): CallerEffect[] {
  const { request } = state;
  if (request === undefined || request.flow !== undefined || answerFor(refusal.kind).retryable) {
    return [];
  }
  endRequest(state, 0);
  const { requestNumber } = request;
  const { kind } = refusal;
  return [{ type: 'outcome', outcome: { type: 'not-run', requestNumber, kind } }];
}

function closeUnusedFlows(state: CallerState): CallerEffect[] {
  const { feed, request } = state;
  const unused = state.retiringFlows.filter(
    (flow) => request?.flow !== flow && feed?.current?.flow !== flow && feed?.next?.flow !== flow,
  );
  return unused.map((flow) => closeFlow(state, flow, 0));
}
