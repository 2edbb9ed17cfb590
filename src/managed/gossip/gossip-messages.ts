/**
 * @file The UDP messages between balancers: SWIM failure detection, membership updates, zone summaries and shared
 * health results. The bounds below keep each within one datagram.
 */
import type { SharedResult } from '../health/health-sharing.js';
import type { MemberAddresses, MemberRecord } from './member.js';

/** Maximum number of member records in one datagram. */
export const MAX_RECORDS = 12;
/** Maximum number of zone summaries in one datagram. */
export const MAX_ZONES = 8;
/** Maximum number of contacts in one zone summary. */
export const MAX_CONTACTS = 3;

/** The summary of a zone that other zones receive. */
export interface ZoneSummary {
  readonly zone: string;
  /** Incremented by the zone's representatives; the summary with the higher version wins. */
  readonly version: number;
  /** Number of live balancers. */
  readonly liveCount: number;
  readonly contacts: readonly MemberAddresses[];
}

/** Fields common to all gossip messages. */
export interface GossipHeader {
  readonly zone: string;
  /** The sender's record of itself. */
  readonly sender: MemberRecord;
  /** Changed records of members of the sender's zone. */
  readonly updates: readonly MemberRecord[];
  readonly zones: readonly ZoneSummary[];
}

/** Requests an acknowledgement. */
export interface PingMessage extends GossipHeader {
  readonly type: 'ping';
  readonly sequence: number;
  /** Digest of the sender's member list; a mismatch triggers a full sync. */
  readonly digest: number;
}

/** Asks the receiver to ping `target`, which has not acknowledged the sender's own ping. */
interface PingRequestMessage extends GossipHeader {
  readonly type: 'ping-request';
  readonly sequence: number;
  readonly target: MemberAddresses;
}

/** Acknowledges a ping, or a ping request once its target has acknowledged. */
export interface AckMessage extends GossipHeader {
  readonly type: 'ack';
  readonly sequence: number;
  readonly digest: number;
}

/** Anti-entropy: `updates` holds a part of the sender's full member list. */
interface SyncMessage extends GossipHeader {
  readonly type: 'sync';
  /** True if the receiver should send its own list back. */
  readonly wantsAnswer: boolean;
}

/** Exchanges zone summaries with another zone. */
export interface ZonesMessage extends GossipHeader {
  readonly type: 'zones';
  readonly wantsAnswer: boolean;
}

/** Any gossip message. */
export type GossipMessage =
  PingMessage | PingRequestMessage | AckMessage | SyncMessage | ZonesMessage;

/** Health probe results, for a balancer of the same zone. */
export interface HealthMessage {
  readonly type: 'health';
  readonly zone: string;
  readonly results: readonly SharedResult[];
}

/** Any datagram between balancers: gossip or health. */
export type PeerDatagram = GossipMessage | HealthMessage;
