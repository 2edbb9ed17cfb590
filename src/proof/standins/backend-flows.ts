/**
 * @file The flows of a stand-in back end: opens, ends, and the memory of ended flows. A token that
 * was used once is never taken again, so that late copies of an open and its requests run nothing.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import { encodeEnvelope, type Envelope } from '../../managed/flow/envelope.js';
import type { ErrorKind } from '../../shared/common/error-kinds.js';
import { encodeLongHeader, parseLongHeader } from '../../managed/flow/header.js';
import { encodeMessage, type Message } from '../../managed/flow/messages.js';
import { readToken, TOKEN_LENGTH_BYTES, type TokenFields } from '../../managed/flow/token.js';
import { RETRY_AFTER_MS, sendToClient, type BackendEffect } from './backend-send.js';
import { hasUnfinishedRequest, type BackendFlow, type BackendState } from './backend-state.js';

const NO_REQUEST_ID = -1;

/**
 * Takes an open that a balancer placed here.
 * @param from the balancer, which gets the answer
 */
export function handleOpen(
  state: BackendState,
  envelope: Envelope,
  from: Address,
  context: StepContext,
): BackendEffect[] {
  const packet = parseLongHeader(envelope.packet);
  if (packet.isErr() || packet.value.destinationId.length !== TOKEN_LENGTH_BYTES) {
    return [];
  }
  if (state.options.faults?.ignoresOpens === true) {
    return [];
  }
  const token = Uint8Array.from(packet.value.destinationId);
  const fields = readToken(token);
  const tokenKey = tokenKeyOf(token);
  const kind = openRefusal(state, fields, tokenKey, envelope.client, context);
  if (kind !== undefined) {
    return [openReply(envelope, from, token, fields, refuseOpen(state, kind))];
  }
  if (!state.flows.has(tokenKey)) {
    state.flows.set(tokenKey, createFlow(tokenKey, fields.flowId, envelope.client, context));
  }
  const accept: Message = { type: 'accept', incarnation: state.incarnation };
  return [openReply(envelope, from, token, fields, accept)];
}

/**
 * @returns the key of a flow in the tables
 */
export function tokenKeyOf(token: Uint8Array): string {
  return Buffer.from(token).toString('hex');
}

/**
 * Ends a flow: its waiting requests are dropped, since no one waits for them, and its token is
 * remembered.
 */
export function closeFlow(state: BackendState, flow: BackendFlow, context: StepContext): void {
  state.flows.delete(flow.tokenKey);
  flow.feeds.forEach((feed) => state.feeds.delete(feed));
  const others = state.queue.filter((record) => record.flow !== flow);
  state.queue.splice(0, state.queue.length, ...others);
  state.closedFlows.set(flow.tokenKey, {
    forgetAtMs: context.nowMs + state.tuning.closedFlowMemoryMs,
    mayHaveRunUpTo: flow.hasRun ? (flow.highestRequestId ?? NO_REQUEST_ID) : NO_REQUEST_ID,
  });
}

/**
 * Answers a packet of a flow that does not stand here. Only where it is remembered that
 * the request can't have come before may "not run" be said.
 * @param requestId of the request that the packet carries, if it does
 */
export function answerUnknownFlow(
  state: BackendState,
  client: Address,
  token: Uint8Array,
  requestId: number | undefined,
): BackendEffect[] {
  const fields = readToken(token);
  const closed = state.closedFlows.get(tokenKeyOf(token));
  if (closed !== undefined && requestId !== undefined && requestId > closed.mayHaveRunUpTo) {
    const refusal: Message = {
      type: 'refuse',
      requestId,
      kind: 'backend-refused',
      surelyNotRun: true,
      retryAfterMs: 0,
    };
    return [sendToClient(state, client, fields.flowId, refusal)];
  }
  const stale = fields.incarnation !== state.incarnation;
  const kind: ErrorKind = stale ? 'stale-incarnation' : 'unknown-flow';
  return [sendToClient(state, client, fields.flowId, { type: 'close', kind })];
}

/**
 * Ends half-open flows and silent ones whose time is up, and forgets closed flows whose packets are
 * all gone.
 */
export function expireFlows(state: BackendState, context: StepContext): BackendEffect[] {
  const { nowMs } = context;
  const effects: BackendEffect[] = [];
  for (const flow of state.flows.values()) {
    if (flow.highestRequestId === undefined) {
      if (nowMs - flow.openedAtMs > state.options.halfOpenTimeoutMs) {
        closeFlow(state, flow, context);
      }
    } else if (isIdle(flow) && nowMs - flow.heardAtMs > state.tuning.flowIdleTimeoutMs) {
      closeFlow(state, flow, context);
      effects.push(sendToClient(state, flow.client, flow.flowId, { type: 'close' }));
    }
  }
  for (const [tokenKey, closed] of state.closedFlows) {
    if (closed.forgetAtMs > nowMs) {
      break;
    }
    state.closedFlows.delete(tokenKey);
  }
  return effects;
}

function isIdle(flow: BackendFlow): boolean {
  return flow.feeds.size === 0 && !hasUnfinishedRequest(flow);
}

function createFlow(
  tokenKey: string,
  flowId: Uint8Array,
  client: Address,
  context: StepContext,
): BackendFlow {
  return {
    tokenKey,
    flowId,
    client,
    openedAtMs: context.nowMs,
    heardAtMs: context.nowMs,
    requests: new Map(),
    feeds: new Map(),
    highestRequestId: undefined,
    hasRun: false,
    makesRequests: false,
    goAway: undefined,
  };
}

function openRefusal(
  state: BackendState,
  fields: TokenFields,
  tokenKey: string,
  client: Address,
  context: StepContext,
): ErrorKind | undefined {
  if (fields.incarnation !== state.incarnation) {
    return 'stale-incarnation';
  }
  if (isForAnotherBackend(state, fields)) {
    state.misrouted += fields.serviceId === state.assignment?.serviceId ? 0 : 1;
    return 'backend-refused';
  }
  const existing = state.flows.get(tokenKey);
  if (existing !== undefined) {
    // Two callers that chose the same flow ID never share a flow.
    const isSameCaller = formatAddress(existing.client) === formatAddress(client);
    return isSameCaller ? undefined : 'backend-refused';
  }
  if (state.closedFlows.has(tokenKey)) {
    return 'backend-refused';
  }
  if (state.draining) {
    return 'backend-draining';
  }
  if (context.nowMs - state.startedAtMs < state.options.warmUpMs) {
    return 'backend-refused';
  }
  return isFull(state) ? 'overloaded' : undefined;
}

function isForAnotherBackend(state: BackendState, fields: TokenFields): boolean {
  const { assignment } = state;
  return (
    assignment !== undefined &&
    (fields.serviceId !== assignment.serviceId || fields.backendId !== assignment.backendId)
  );
}

function isFull(state: BackendState): boolean {
  return (
    state.options.faults?.refusesAll === true ||
    state.flows.size >= state.options.connectionLimit ||
    state.closedFlows.size >= state.tuning.closedFlowLimit
  );
}

function refuseOpen(state: BackendState, kind: ErrorKind): Message {
  const { incarnation } = state;
  return { type: 'refuse', kind, surelyNotRun: true, incarnation, retryAfterMs: RETRY_AFTER_MS };
}

function openReply(
  envelope: Envelope,
  from: Address,
  token: Uint8Array,
  fields: TokenFields,
  message: Message,
): BackendEffect {
  const packet = encodeLongHeader(fields.flowId, token, encodeMessage(message));
  const { client, service } = envelope;
  return { type: 'send', to: from, datagram: encodeEnvelope({ client, service, packet }) };
}
