/**
 * @file The gossip state of a balancer: each member of its own zone, and a summary of every other zone.
 */
import type { Address } from '../../shared/common/address.js';
import type { GossipMessage, ZoneSummary } from './gossip-messages.js';
import { gossipAddress, type MemberAddresses, type MemberRecord } from './member.js';
import { createMemberList, presentMembers, type MemberList } from './member-list.js';

/** The live count of another zone is ignored once its summary is older than this. */
const ZONE_SUMMARY_LIFETIME_MS = 60_000;
/**
 * Sequence numbers reserved for each incarnation, so that a late acknowledgement from before a restart matches no ping
 * sent after it. A balancer sends far fewer pings a second, and its incarnation is its start time in seconds.
 */
const SEQUENCES_PER_INCARNATION = 2 ** 16;

/** Options of the gossip state. */
export interface GossipOptions extends MemberAddresses {
  readonly id: string;
  readonly zone: string;
  /** Higher than in any earlier run of this balancer, such as the Unix start time in seconds. */
  readonly incarnation: number;
  /** Gossip addresses of balancers of any zone, from the platform; may be outdated. */
  readonly seeds: readonly Address[];
}

/** The ping of the current round. */
interface PendingPing {
  readonly targetId: string;
  readonly sequence: number;
  readonly sentAtMs: number;
  indirectPingsSent: boolean;
  acknowledged: boolean;
}

/** A ping sent on behalf of another member. */
interface ForwardedPing {
  readonly origin: Address;
  readonly originSequence: number;
  readonly expiresAtMs: number;
}

/** A zone summary and when its version last increased. */
interface KnownZone {
  readonly summary: ZoneSummary;
  readonly renewedAtMs: number;
}

/** The gossip state of a balancer. */
export interface GossipState {
  readonly options: GossipOptions;
  self: MemberRecord;
  readonly list: MemberList;
  readonly zones: Map<string, KnownZone>;
  /** Addresses in this balancer's zone, from the last summary received; used to discover members. */
  ownZoneContacts: readonly MemberAddresses[];
  pending: PendingPing | undefined;
  readonly forwardedPings: Map<number, ForwardedPing>;
  /** IDs of the members still to be pinged before the next shuffle; taken from the end. */
  pingOrder: string[];
  /** Sequence number of the next ping; unique across restarts, since an acknowledgement carries no incarnation. */
  nextSequence: number;
  nextRoundAtMs: number;
  nextSeedPingAtMs: number;
  nextZoneExchangeAtMs: number;
  nextSummaryAtMs: number;
  /** When the next full sync may start. */
  nextSyncAtMs: number;
  /** Position of the next zone summary to piggyback. */
  zoneCursor: number;
  lastTickAtMs: number | undefined;
}

/** Sends a datagram to another balancer. */
export interface GossipSendEffect {
  readonly type: 'gossip-send';
  readonly to: Address;
  readonly message: GossipMessage;
}

/**
 * @returns the state of a balancer that knows no other member yet
 */
export function createGossipState(options: GossipOptions): GossipState {
  const { id, host, gossipPort, linkPort, incarnation } = options;
  return {
    options,
    self: { id, host, gossipPort, linkPort, incarnation, status: 'alive' },
    list: createMemberList(),
    zones: new Map(),
    ownZoneContacts: [],
    pending: undefined,
    forwardedPings: new Map(),
    pingOrder: [],
    nextSequence: incarnation * SEQUENCES_PER_INCARNATION,
    nextRoundAtMs: 0,
    nextSeedPingAtMs: 0,
    nextZoneExchangeAtMs: 0,
    nextSummaryAtMs: 0,
    nextSyncAtMs: 0,
    zoneCursor: 0,
    lastTickAtMs: undefined,
  };
}

/**
 * @returns the present members of this balancer's zone, including itself unless it has left
 */
export function zoneMembers(state: GossipState): MemberRecord[] {
  const others = presentMembers(state.list);
  return state.self.status === 'alive' ? [state.self, ...others] : others;
}

/**
 * @returns the number of live balancers in all zones; other zones' counts may be up to a minute old
 */
export function liveBalancerCount(state: GossipState, nowMs: number): number {
  let count = zoneMembers(state).length;
  for (const [zone, { summary, renewedAtMs }] of state.zones) {
    if (zone !== state.options.zone && nowMs - renewedAtMs < ZONE_SUMMARY_LIFETIME_MS) {
      count += summary.liveCount;
    }
  }
  return count;
}

/**
 * @returns addresses of balancers in other zones, most recently updated zone first
 */
export function otherZoneContacts(state: GossipState): MemberAddresses[] {
  return [...state.zones]
    .filter(([zone]) => zone !== state.options.zone)
    .sort(([, one], [, other]) => other.renewedAtMs - one.renewedAtMs)
    .flatMap(([, { summary }]) => summary.contacts);
}

/**
 * @returns the effect that sends the message to the member's gossip socket
 */
export function sendTo(to: MemberAddresses, message: GossipMessage): GossipSendEffect {
  return { type: 'gossip-send', to: gossipAddress(to), message };
}
