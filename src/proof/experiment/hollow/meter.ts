/**
 * @file Counts what hollow nodes send and receive by message kind, and how long their steps take, by
 * role.
 */

import type { WireMessage } from './wire.js';

/** What a node does; a relay is a balancer that passes the configuration on to others. */
export type HollowRole = 'leader' | 'follower' | 'relay' | 'balancer';

/** Messages and bytes of one kind. */
export interface KindTraffic {
  messages: number;
  bytes: number;
}

/** What the nodes of one role have used. */
export interface RoleUsage {
  /** Wall time inside steps and inside encoding and decoding, in milliseconds; without ticks. */
  stepMs: number;
  /** Wall time inside ticks, in milliseconds. */
  tickMs: number;
  ticks: number;
  /** Health probes of back ends that were asked for. */
  probes: number;
  readonly sent: Map<string, KindTraffic>;
  readonly received: Map<string, KindTraffic>;
}

/** Counts for all roles since the last reset. */
export class Meter {
  private readonly roles = new Map<HollowRole, RoleUsage>();

  /** The counts of a role. */
  of(role: HollowRole): RoleUsage {
    const known = this.roles.get(role);
    if (known !== undefined) {
      return known;
    }
    const usage: RoleUsage = {
      stepMs: 0,
      tickMs: 0,
      ticks: 0,
      probes: 0,
      sent: new Map(),
      received: new Map(),
    };
    this.roles.set(role, usage);
    return usage;
  }

  /** Counts a message with the time of its encoding. */
  countSent(role: HollowRole, wire: WireMessage): void {
    const usage = this.of(role);
    usage.stepMs += wire.encodeMs;
    addTraffic(usage.sent, wire.kind, wire.bytes);
  }

  /** Counts a message with the time of its decoding. */
  countReceived(role: HollowRole, wire: WireMessage): void {
    const usage = this.of(role);
    usage.stepMs += wire.decodeMs;
    addTraffic(usage.received, wire.kind, wire.bytes);
  }

  /** All bytes that the nodes of a role have sent. */
  sentBytes(role: HollowRole): number {
    return totalTraffic(this.of(role).sent).bytes;
  }

  reset(): void {
    this.roles.clear();
  }
}

/**
 * @returns the sum over all kinds
 */
export function totalTraffic(kinds: ReadonlyMap<string, KindTraffic>): KindTraffic {
  const total: KindTraffic = { messages: 0, bytes: 0 };
  for (const { messages, bytes } of kinds.values()) {
    total.messages += messages;
    total.bytes += bytes;
  }
  return total;
}

function addTraffic(kinds: Map<string, KindTraffic>, kind: string, bytes: number): void {
  const traffic = kinds.get(kind) ?? { messages: 0, bytes: 0 };
  traffic.messages += 1;
  traffic.bytes += bytes;
  kinds.set(kind, traffic);
}
