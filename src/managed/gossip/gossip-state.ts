/**
 * @file The state of a balancer's gossip: the members of its own zone one by one, other zones by a summary.
 * `member-list.ts` changes the list, `failure-detector.ts` and `suspicion.ts` the pings, `zone-summaries.ts` the
 * zones, `gossip-step.ts` the rest.
 */
import type { Address } from '../../shared/common/address.js';
import type { GossipMessage, ZoneSummary } from './gossip-messages.js';
import { gossipAddress, type MemberAddresses, type MemberRecord } from './member.js';
import { createMemberList, presentMembers, type MemberList } from './member-list.js';

/** A summary of another zone that was not renewed for this time is not counted, in milliseconds. Not measured. */
const ZONE_LIFETIME_MS = 60_000;
/**
 * Sequences of pings that belong to one incarnation, so that a late acknowledgement of a ping of the start before is none
 * of a ping of this start. A balancer sends one ping a second and few on behalf of others, and its incarnation is the
 * second of its start, so the next start begins above all that were used.
 */
const SEQUENCES_PER_INCARNATION = 2 ** 16;

/** Options of a member. */
export interface GossipOptions extends MemberAddresses {
  readonly id: string;
  readonly zone: string;
  /** Above that of any earlier run of this balancer, such as the Unix time of the start in seconds. */
  readonly incarnation: number;
  /** Gossip addresses of balancers from the platform's list, of any zone; may lag. */
  readonly seeds: readonly Address[];
}

/** The ping that waits for an acknowledgement. */
interface PendingPing {
  readonly targetId: string;
  readonly sequence: number;
  readonly sentAtMs: number;
  indirectPingsSent: boolean;
  acknowledged: boolean;
}

/** A ping on behalf of another member. */
interface ForwardedPing {
  readonly origin: Address;
  readonly originSequence: number;
  readonly expiresAtMs: number;
}

/** A summary of a zone and when its version last rose. */
interface KnownZone {
  readonly summary: ZoneSummary;
  readonly renewedAtMs: number;
}

/** The state of a member. */
export interface GossipState {
  readonly options: GossipOptions;
  self: MemberRecord;
  readonly list: MemberList;
  readonly zones: Map<string, KnownZone>;
  /** Addresses in the own zone, from the last summary of another balancer; they help to find the zone. */
  ownZoneContacts: readonly MemberAddresses[];
  pending: PendingPing | undefined;
  readonly forwarded: Map<number, ForwardedPing>;
  /** Members still to be pinged in this turn. */
  turn: string[];
  /** Of the next ping; an acknowledgement names nothing else, so no other start of this balancer uses the same. */
  nextSequence: number;
  nextRoundAtMs: number;
  nextSeedAtMs: number;
  nextZonesAtMs: number;
  nextSummaryAtMs: number;
  /** Whole lists are not sent before this time. */
  nextSyncAtMs: number;
  /** Whose turn it is among the zones that are spread along with pings. */
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
 * @returns a member that knows only itself
 */
export function createGossip(options: GossipOptions): GossipState {
  const { id, host, gossipPort, linkPort, incarnation } = options;
  return {
    options,
    self: { id, host, gossipPort, linkPort, incarnation, status: 'alive' },
    list: createMemberList(),
    zones: new Map(),
    ownZoneContacts: [],
    pending: undefined,
    forwarded: new Map(),
    turn: [],
    nextSequence: incarnation * SEQUENCES_PER_INCARNATION,
    nextRoundAtMs: 0,
    nextSeedAtMs: 0,
    nextZonesAtMs: 0,
    nextSummaryAtMs: 0,
    nextSyncAtMs: 0,
    zoneCursor: 0,
    lastTickAtMs: undefined,
  };
}

/**
 * @returns the members of the own zone that are believed to be alive, with this balancer
 */
export function zoneMembers(state: GossipState): MemberRecord[] {
  const others = presentMembers(state.list);
  return state.self.status === 'alive' ? [state.self, ...others] : others;
}

/**
 * @returns how many balancers are alive, in all zones; the other zones' part may lag by a minute
 */
export function liveBalancerCount(state: GossipState, nowMs: number): number {
  let count = zoneMembers(state).length;
  for (const [zone, { summary, renewedAtMs }] of state.zones) {
    if (zone !== state.options.zone && nowMs - renewedAtMs < ZONE_LIFETIME_MS) {
      count += summary.liveCount;
    }
  }
  return count;
}

/**
 * @returns addresses of balancers in other zones, those of the zones renewed last first
 */
export function otherZoneContacts(state: GossipState): MemberAddresses[] {
  return [...state.zones]
    .filter(([zone]) => zone !== state.options.zone)
    .sort(([, one], [, other]) => other.renewedAtMs - one.renewedAtMs)
    .flatMap(([, { summary }]) => summary.contacts);
}

/**
 * @returns the effect that sends a message to a member
 */
export function sendTo(to: MemberAddresses, message: GossipMessage): GossipSendEffect {
  return { type: 'gossip-send', to: gossipAddress(to), message };
}
