/**
 * @file SWIM failure detector. Each round pings one member of the zone, directly and then through other members; a
 * member that does not acknowledge within the round is suspected (`suspicion.ts`).
 */
import type { StepContext } from '../../shared/common/step.js';
import { ackMessage, pingMessage, zoneHeader } from './gossip-headers.js';
import type { AckMessage } from './gossip-messages.js';
import { sendTo, type GossipSendEffect, type GossipState } from './gossip-state.js';
import { isPresent, type MemberRecord } from './member.js';
import { presentMembers, setStatus } from './member-list.js';
import { shuffled } from './shuffle.js';
import { compensateForPause, expireStatuses } from './suspicion.js';

const ROUND_INTERVAL_MS = 1_000;
/** How long to wait for the target's acknowledgement before indirect pings are sent. */
const PING_TIMEOUT_MS = 300;
/** Members that are asked to ping the target indirectly. */
const INDIRECT_PING_COUNT = 3;
/** How long a forwarded ping waits for its acknowledgement: one round. */
const FORWARDED_PING_TIMEOUT_MS = 1_000;
const MAX_FORWARDED_PINGS = 64;

/**
 * Expires suspicions and forwarded pings, sends indirect pings, and begins a new round when it is due.
 */
export function failureDetectorTick(state: GossipState, context: StepContext): GossipSendEffect[] {
  const { nowMs } = context;
  compensateForPause(state, nowMs);
  expireStatuses(state, nowMs);
  expireForwardedPings(state, nowMs);
  const effects = sendIndirectPings(state, context);
  if (nowMs >= state.nextRoundAtMs) {
    state.nextRoundAtMs = nowMs + ROUND_INTERVAL_MS;
    endRound(state, nowMs);
    effects.push(...beginRound(state, context));
  }
  return effects;
}

/**
 * Handles an acknowledgement of this balancer's ping, or of a forwarded ping, whose origin gets an acknowledgement.
 */
export function handleAck(state: GossipState, message: AckMessage): GossipSendEffect[] {
  const { pending } = state;
  if (pending?.sequence === message.sequence) {
    pending.acknowledged = true;
  }
  const forwarded = state.forwardedPings.get(message.sequence);
  if (forwarded === undefined) {
    return [];
  }
  state.forwardedPings.delete(message.sequence);
  const ack = ackMessage(state, forwarded.originSequence);
  return [{ type: 'gossip-send', to: forwarded.origin, message: ack }];
}

/**
 * Pings the target of a ping request on behalf of its sender.
 */
export function forwardPing(
  state: GossipState,
  request: { readonly sequence: number; readonly target: Parameters<typeof sendTo>[0] },
  origin: GossipSendEffect['to'],
  nowMs: number,
): GossipSendEffect[] {
  if (state.forwardedPings.size >= MAX_FORWARDED_PINGS) {
    return [];
  }
  const ping = pingMessage(state);
  state.forwardedPings.set(ping.sequence, {
    origin,
    originSequence: request.sequence,
    expiresAtMs: nowMs + FORWARDED_PING_TIMEOUT_MS,
  });
  return [sendTo(request.target, ping)];
}

function expireForwardedPings(state: GossipState, nowMs: number): void {
  for (const [sequence, { expiresAtMs }] of state.forwardedPings) {
    if (expiresAtMs <= nowMs) {
      state.forwardedPings.delete(sequence);
    }
  }
}

function sendIndirectPings(state: GossipState, context: StepContext): GossipSendEffect[] {
  const { pending } = state;
  const isDue =
    pending !== undefined &&
    !pending.acknowledged &&
    !pending.indirectPingsSent &&
    context.nowMs - pending.sentAtMs >= PING_TIMEOUT_MS;
  const target = isDue ? state.list.members.get(pending.targetId)?.record : undefined;
  if (!isDue || target === undefined) {
    return [];
  }
  pending.indirectPingsSent = true;
  const others = presentMembers(state.list).filter(({ id }) => id !== target.id);
  const { host, gossipPort, linkPort } = target;
  return shuffled(others, context)
    .slice(0, INDIRECT_PING_COUNT)
    .map((other) =>
      sendTo(other, {
        type: 'ping-request',
        ...zoneHeader(state, other.id),
        sequence: pending.sequence,
        target: { host, gossipPort, linkPort },
      }),
    );
}

function endRound(state: GossipState, nowMs: number): void {
  const { pending } = state;
  state.pending = undefined;
  const isUnanswered = pending !== undefined && !pending.acknowledged;
  if (isUnanswered && state.list.members.get(pending.targetId)?.record.status === 'alive') {
    setStatus(state.list, pending.targetId, 'suspect', nowMs);
  }
}

function beginRound(state: GossipState, context: StepContext): GossipSendEffect[] {
  const target = nextTarget(state, context);
  if (target === undefined) {
    return [];
  }
  const message = pingMessage(state, target.id);
  state.pending = {
    targetId: target.id,
    sequence: message.sequence,
    sentAtMs: context.nowMs,
    indirectPingsSent: false,
    acknowledged: false,
  };
  return [sendTo(target, message)];
}

/** Visits each present member once, then shuffles again. */
function nextTarget(state: GossipState, context: StepContext): MemberRecord | undefined {
  if (state.pingOrder.length === 0) {
    state.pingOrder = shuffled(presentMembers(state.list), context).map(({ id }) => id);
  }
  for (let id = state.pingOrder.pop(); id !== undefined; id = state.pingOrder.pop()) {
    const record = state.list.members.get(id)?.record;
    if (record !== undefined && isPresent(record)) {
      return record;
    }
  }
  return undefined;
}
