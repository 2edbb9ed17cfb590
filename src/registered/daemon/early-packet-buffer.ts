/**
 * @file Buffers the packets that reach a balancer before its first feed (`decisions/early-packets.ts`), and hands them back
 * as soon as they can be decided: those of established flows once their back end is known, opens once this balancer is
 * current. Without the switch `recovery=fast` nothing is kept.
 */
import {
  createEarlyPackets,
  defaultEarlyPacketsOptions,
  type EarlyPacket,
} from '../decisions/early-packets.js';
import type { IngressState } from '../ingress/ingress-state.js';
import type { DropReason, PacketDecision } from '../ingress/packet-decision.js';
import { urgencyOf } from '../ingress/packet-urgency.js';
import type { PacketView } from '../ingress/packet-view.js';
import type { DecisionFields } from './decision-log.js';
import { countEvent, type EventCounts } from './event-counts.js';

/** Options and callbacks of a buffer. */
export interface EarlyPacketBufferOptions {
  readonly state: IngressState;
  readonly counts: EventCounts;
  /** Handles a packet that can be decided now. */
  onDecidable(early: EarlyPacket): void;
  /** Drops a packet whose next copy is due. */
  onExpired(early: EarlyPacket, reason: DropReason): void;
  logDecision(name: string, fields: DecisionFields): void;
}

/** Buffers the early packets of one balancer. */
export interface EarlyPacketBuffer {
  /** @returns true if the packet is kept, so that its decision must not be carried out */
  keep(early: EarlyPacket, decision: PacketDecision, nowMs: number): boolean;
  /** Releases what can be decided and has not expired; called after each message of the feed. */
  release(nowMs: number): void;
  /** Drops what has expired; called with each tick. */
  expire(nowMs: number): void;
}

/** @returns an empty buffer */
export function createEarlyPacketBuffer(options: EarlyPacketBufferOptions): EarlyPacketBuffer {
  const { state, counts } = options;
  const packets = createEarlyPackets({
    ...defaultEarlyPacketsOptions,
    rankOf: (packet) => urgencyOf(state, packet) ?? 0,
  });
  let releasedCount = 0;
  let expiredCount = 0;

  return { keep, release, expire };

  function keep(early: EarlyPacket, decision: PacketDecision, nowMs: number): boolean {
    const isEarly = decision.type === 'drop' && isUndecidable(decision.reason);
    if (!isEarly || !keepsPackets(state)) {
      return false;
    }
    const isKept = packets.keep(early, nowMs);
    countEvent(counts, isKept ? 'early:kept' : 'early:full');
    return isKept;
  }

  function release(nowMs: number): void {
    // An expired open may have been placed by another balancer, which received the next copy.
    expire(nowMs);
    if (packets.size === 0) {
      return;
    }
    const { backends } = state;
    handle(packets.takeEstablished(({ token }) => backends.resolve(token) !== undefined));
    if (canPlaceOpens(state)) {
      handle(packets.takeOpens());
    }
    logIfEmpty();
  }

  function handle(released: readonly EarlyPacket[]): void {
    releasedCount += released.length;
    for (const early of released) {
      countEvent(counts, 'early:released');
      options.onDecidable(early);
    }
  }

  function expire(nowMs: number): void {
    if (packets.size === 0) {
      return;
    }
    const expired = packets.takeExpired(nowMs);
    expiredCount += expired.length;
    for (const early of expired) {
      countEvent(counts, 'early:expired');
      options.onExpired(early, reasonOf(early.packet));
    }
    logIfEmpty();
  }

  function logIfEmpty(): void {
    if (packets.size === 0 && canPlaceOpens(state)) {
      options.logDecision('early packets', { released: releasedCount, expired: expiredCount });
    }
  }
}

function isUndecidable(reason: DropReason): boolean {
  return reason === 'not-ready' || reason === 'unknown-token';
}

function reasonOf({ isOpen }: PacketView): DropReason {
  return isOpen ? 'not-ready' : 'unknown-token';
}

/** Until this balancer is current for the first time. */
function keepsPackets(state: IngressState): boolean {
  const { switches } = state.options;
  return switches.recovery === 'fast' && !state.isStopping && !canPlaceOpens(state);
}

function canPlaceOpens({ feedStatus, routes }: IngressState): boolean {
  return feedStatus.firstCurrentAtMs !== undefined && routes.config !== undefined;
}
