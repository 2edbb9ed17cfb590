/**
 * @file SWIM's failure detection within a zone: each round one member is pinged; where it does not
 * answer, others ping it too; where nobody gets an answer it is suspected, and after a while, without
 * a refutation, believed dead.
 */
import type { StepContext } from '../../shared/common/step.js';
import { MAX_RECORDS, type AckMessage, type GossipHeader } from './gossip-messages.js';
import { isPresent, type MemberRecord } from './member.js';
import { forgetMember, presentMembers, recordHash, setStatus, nextUpdates } from './member-list.js';
import { sendTo, type GossipSendEffect, type GossipState } from './gossip-state.js';
import { nextSummaries } from './zone-summaries.js';

/** Time between two rounds, in milliseconds. */
const ROUND_INTERVAL_MS = 1_000;
/** How long the target may take before others are asked, in milliseconds. */
const PING_TIMEOUT_MS = 300;
/** How many others are asked. */
const INDIRECT_PROBES = 3;
/** How long a suspected member has to refute, in milliseconds. */
const SUSPICION_MS = 4_000;
/** How long a dead member is remembered, in milliseconds: ten minutes. */
const REMEMBER_DEAD_MS = 600_000;
/** A gap between ticks beyond which this process was paused and blames nobody, in milliseconds. */
const PAUSE_LIMIT_MS = 500;
/** How long a ping on behalf of another waits, in milliseconds. */
const FORWARD_LIFETIME_MS = 1_000;
/** Bound of pings on behalf of others that wait. */
const MAX_FORWARDED = 64;

/**
 * @returns what every datagram to a member of the zone carries
 * @param receiverId where known, so that it hears what is believed of it
 */
export function zoneHeader(state: GossipState, receiverId?: string): GossipHeader {
  return {
    zone: state.options.zone,
    sender: state.self,
    updates: nextUpdates(state.list, MAX_RECORDS, receiverId),
    zones: nextSummaries(state, 1),
  };
}

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
 * @returns a ping to a member or to an address whose member is not known
 */
export function pingMessage(state: GossipState, receiverId?: string) {
  const sequence = allocateSequence(state);
  const header = zoneHeader(state, receiverId);
  return { type: 'ping' as const, ...header, sequence, digest: ownDigest(state) };
}

/**
 * @returns the answer to a ping
 */
export function ackMessage(state: GossipState, sequence: number, receiverId?: string): AckMessage {
  return { type: 'ack', ...zoneHeader(state, receiverId), sequence, digest: ownDigest(state) };
}

/**
 * Takes an acknowledgement: for the own ping, or for one on behalf of another.
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

/**
 * @returns a digest of all members, the sender among them, that is equal where the lists are
 */
export function ownDigest(state: GossipState): number {
  return (state.list.digest ^ recordHash(state.self)) >>> 0;
}

/** After a pause, answers that came late blame nobody. */
function compensatePause(state: GossipState, nowMs: number): void {
  const gapMs = nowMs - (state.lastTickAtMs ?? nowMs);
  state.lastTickAtMs = nowMs;
  if (gapMs <= PAUSE_LIMIT_MS) {
    return;
  }
  state.pending = undefined;
  for (const known of state.list.members.values()) {
    if (known.record.status === 'suspect') {
      known.changedAtMs += gapMs;
    }
  }
}

function expireStatuses(state: GossipState, nowMs: number): void {
  for (const [id, { record, changedAtMs }] of state.list.members) {
    const ageMs = nowMs - changedAtMs;
    if (record.status === 'suspect' && ageMs >= SUSPICION_MS) {
      setStatus(state.list, id, 'dead', nowMs);
    } else if (record.status === 'dead' || record.status === 'left') {
      if (ageMs >= REMEMBER_DEAD_MS) {
        forgetMember(state.list, id);
      }
    }
  }
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

function allocateSequence(state: GossipState): number {
  const sequence = state.nextSequence;
  state.nextSequence += 1;
  return sequence;
}

/**
 * @returns the items in a random order
 */
export function shuffled<Item>(items: readonly Item[], { random }: StepContext): Item[] {
  return items
    .map((item) => ({ item, order: random.nextFloat() }))
    .sort((one, other) => one.order - other.order)
    .map(({ item }) => item);
}
