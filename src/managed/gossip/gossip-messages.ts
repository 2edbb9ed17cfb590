/**
 * @file Datagrams between balancers. Each is bounded: at most `MAX_RECORDS` records and, where it
 * carries zones, `MAX_ZONES` of them.
 */
import type { SharedResult } from '../health/health-sharing.js';
import type { MemberAddresses, MemberRecord } from './member.js';

/** Bound of member records in one datagram. */
export const MAX_RECORDS = 12;
/** Bound of zone summaries in one datagram. */
export const MAX_ZONES = 8;
/** Bound of the contacts in one zone summary. */
export const MAX_CONTACTS = 3;

/** What other zones know of a zone. */
export interface ZoneSummary {
  readonly zone: string;
  /** Raised by the zone; of two summaries the one of the higher version counts. */
  readonly version: number;
  /** Balancers that are alive. */
  readonly liveCount: number;
  readonly contacts: readonly MemberAddresses[];
}

/** What every datagram carries. */
export interface GossipHeader {
  readonly zone: string;
  /** The sender's record of itself. */
  readonly sender: MemberRecord;
  /** Records of members of the sender's zone that have changed. */
  readonly updates: readonly MemberRecord[];
  readonly zones: readonly ZoneSummary[];
}

/** Asks for an acknowledgement. */
export interface PingMessage extends GossipHeader {
  readonly type: 'ping';
  readonly sequence: number;
  /** Digest of the sender's member list, by which lists that differ are detected. */
  readonly digest: number;
}

/** Asks the receiver to ping `target`, which did not answer the sender. */
interface PingRequestMessage extends GossipHeader {
  readonly type: 'ping-request';
  readonly sequence: number;
  readonly target: MemberAddresses;
}

/** Answer to a ping; or to a ping request, once its target has answered. */
export interface AckMessage extends GossipHeader {
  readonly type: 'ack';
  readonly sequence: number;
  readonly digest: number;
}

/** A part of the sender's whole member list, in `updates`. */
interface SyncMessage extends GossipHeader {
  readonly type: 'sync';
  /** True where the receiver should send its own list back. */
  readonly wantsAnswer: boolean;
}

/** To another zone: what is known of zones. */
export interface ZonesMessage extends GossipHeader {
  readonly type: 'zones';
  readonly wantsAnswer: boolean;
}

/** Any datagram of gossip. */
export type GossipMessage =
  PingMessage | PingRequestMessage | AckMessage | SyncMessage | ZonesMessage;

/** Results of health probes, for a balancer of the same zone. */
export interface HealthMessage {
  readonly type: 'health';
  readonly zone: string;
  readonly results: readonly SharedResult[];
}

/** Any datagram between balancers, of gossip or health. */
export type PeerDatagram = GossipMessage | HealthMessage;
