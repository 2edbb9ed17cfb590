/**
 * @file Flows of a stand-in back end. Tokens of closed flows are retained, so that late copies of an
 * open or a request do not run again.
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
 * Accepts or refuses an open that a balancer forwarded.
 * @param from the balancer, to which the reply is sent
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
  const kind = openRefusalKind(state, fields, tokenKey, envelope.client, context);
  if (kind !== undefined) {
    return [openReply(envelope, from, token, fields, openRefusalMessage(state, kind))];
  }
  if (!state.flows.has(tokenKey)) {
    state.flows.set(tokenKey, createFlow(tokenKey, fields.flowId, envelope.client, context));
  }
  const accept: Message = { type: 'accept', incarnation: state.incarnation };
  return [openReply(envelope, from, token, fields, accept)];
}

/**
 * @returns the token in hex, the key of `flows` and `closedFlows`
 */
export function tokenKeyOf(token: Uint8Array): string {
  return Buffer.from(token).toString('hex');
}

/**
 * Closes a flow: drops its queued requests and feeds, and retains its token.
 */
export function closeFlow(state: BackendState, flow: BackendFlow, context: StepContext): void {
  state.flows.delete(flow.tokenKey);
  flow.feeds.forEach((feed) => state.feeds.delete(feed));
  const others = state.queue.filter((record) => record.flow !== flow);
  state.queue.splice(0, state.queue.length, ...others);
  state.closedFlows.set(flow.tokenKey, {
    expiresAtMs: context.nowMs + state.tuning.closedFlowRetentionMs,
    lastPossiblyRunRequestId: flow.hasExecutedWork
      ? (flow.highestRequestId ?? NO_REQUEST_ID)
      : NO_REQUEST_ID,
  });
}

/**
 * Answers a packet of an unknown or closed flow. A request is reported as not run only if the record
 * of the closed flow rules out that an earlier copy ran.
 * @param requestId of the request in the packet; undefined for other messages
 */
export function answerUnknownFlow(
  state: BackendState,
  client: Address,
  token: Uint8Array,
  requestId: number | undefined,
): BackendEffect[] {
  const fields = readToken(token);
  const closed = state.closedFlows.get(tokenKeyOf(token));
  if (
    closed !== undefined &&
    requestId !== undefined &&
    requestId > closed.lastPossiblyRunRequestId
  ) {
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
 * Closes half-open and idle flows that timed out, and deletes records of closed flows whose retention
 * has ended.
 */
export function expireFlows(state: BackendState, context: StepContext): BackendEffect[] {
  const { nowMs } = context;
  const effects: BackendEffect[] = [];
  for (const flow of state.flows.values()) {
    if (flow.highestRequestId === undefined) {
      if (nowMs - flow.openedAtMs > state.options.halfOpenTimeoutMs) {
        closeFlow(state, flow, context);
      }
    } else if (isIdle(flow) && nowMs - flow.lastReceivedAtMs > state.tuning.flowIdleTimeoutMs) {
      closeFlow(state, flow, context);
      effects.push(sendToClient(state, flow.client, flow.flowId, { type: 'close' }));
    }
  }
  for (const [tokenKey, closed] of state.closedFlows) {
    if (closed.expiresAtMs > nowMs) {
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
    lastReceivedAtMs: context.nowMs,
    requests: new Map(),
    feeds: new Map(),
    highestRequestId: undefined,
    hasExecutedWork: false,
    makesRequests: false,
    goAway: undefined,
  };
}

function openRefusalKind(
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
    // Two callers with the same flow ID must not share a flow.
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

function openRefusalMessage(state: BackendState, kind: ErrorKind): Message {
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
