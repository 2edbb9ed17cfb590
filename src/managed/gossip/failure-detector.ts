/**
 * @file Which balancer of the zone is suspected? SWIM's failure detection: each round one member is pinged; where it
 * doesn't answer, others ping it too; where none of them gets an answer within the round, it is suspected. What
 * follows stands in `suspicion.ts`.
 *
 * Inputs: acknowledgements and the time of the step, in milliseconds. Owns the pending ping, the pings on behalf of
 * others and the order of the rounds.
 */
import type { StepContext } from '../../shared/common/step.js';
import { ackMessage, pingMessage, zoneHeader } from './gossip-headers.js';
import type { AckMessage } from './gossip-messages.js';
import { sendTo, type GossipSendEffect, type GossipState } from './gossip-state.js';
import { isPresent, type MemberRecord } from './member.js';
import { presentMembers, setStatus } from './member-list.js';
import { shuffled } from './shuffle.js';
import { compensatePause, expireStatuses } from './suspicion.js';

/**
 * Time between two rounds, in milliseconds. A balancer of 75 in a zone sent 715 bytes a second in all
 * (docs/design/dissemination.md).
 */
const ROUND_INTERVAL_MS = 1_000;
/**
 * How long the target may take before others ping it, in milliseconds; zones are 0.5 to 1.5 ms apart. Not measured.
 */
const PING_TIMEOUT_MS = 300;
/** Others that ping the target. Not measured; too few if losses of packets lead to suspicions. */
const INDIRECT_PROBES = 3;
/** How long a ping on behalf of another waits, in milliseconds: one round. */
const FORWARD_LIFETIME_MS = 1_000;
/** Bound of pings on behalf of others that wait. Not measured. */
const MAX_FORWARDED = 64;

/**
 * Runs the rounds.
 */
export function detectorTick(state: GossipState, context: StepContext): GossipSendEffect[] {
  const { nowMs } = context;
  compensatePause(state, nowMs);
  expireStatuses(state, nowMs);
  expireForwarded(state, nowMs);
  const effects = sendIndirectPings(state, context);
  if (nowMs >= state.nextRoundAtMs) {
    state.nextRoundAtMs = nowMs + ROUND_INTERVAL_MS;
    endRound(state, nowMs);
    effects.push(...beginRound(state, context));
  }
  return effects;
}

/**
 * Handles an acknowledgement: of the own ping, or of one on behalf of another, to which it is passed on.
 */
export function handleAck(state: GossipState, message: AckMessage): GossipSendEffect[] {
  const { pending } = state;
  if (pending?.sequence === message.sequence) {
    pending.acknowledged = true;
  }
  const forwarded = state.forwarded.get(message.sequence);
  if (forwarded === undefined) {
    return [];
  }
  state.forwarded.delete(message.sequence);
  const answer = ackMessage(state, forwarded.originSequence);
  return [{ type: 'gossip-send', to: forwarded.origin, message: answer }];
}

/**
 * Pings a member on behalf of another.
 */
export function forwardPing(
  state: GossipState,
  request: { readonly sequence: number; readonly target: Parameters<typeof sendTo>[0] },
  origin: GossipSendEffect['to'],
  nowMs: number,
): GossipSendEffect[] {
  if (state.forwarded.size >= MAX_FORWARDED) {
    return [];
  }
  const ping = pingMessage(state);
  state.forwarded.set(ping.sequence, {
    origin,
    originSequence: request.sequence,
    expiresAtMs: nowMs + FORWARD_LIFETIME_MS,
  });
  return [sendTo(request.target, ping)];
}

function expireForwarded(state: GossipState, nowMs: number): void {
  for (const [sequence, { expiresAtMs }] of state.forwarded) {
    if (expiresAtMs <= nowMs) {
      state.forwarded.delete(sequence);
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
    .slice(0, INDIRECT_PROBES)
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
  const isSilent = pending !== undefined && !pending.acknowledged;
  if (isSilent && state.list.members.get(pending.targetId)?.record.status === 'alive') {
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

/** Each present member once a turn, in an order drawn anew for each turn. */
function nextTarget(state: GossipState, context: StepContext): MemberRecord | undefined {
  if (state.turn.length === 0) {
    state.turn = shuffled(presentMembers(state.list), context).map(({ id }) => id);
  }
  for (let id = state.turn.pop(); id !== undefined; id = state.turn.pop()) {
    const record = state.list.members.get(id)?.record;
    if (record !== undefined && isPresent(record)) {
      return record;
    }
  }
  return undefined;
}
