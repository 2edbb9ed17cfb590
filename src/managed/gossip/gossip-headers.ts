/**
 * @file Builds the datagrams of a zone: what each carries (updates of members and one zone summary), pings, and their
 * acknowledgements. Sending an update counts it as sent (`member-list.ts`).
 */
import {
  MAX_RECORDS,
  type AckMessage,
  type GossipHeader,
  type PingMessage,
} from './gossip-messages.js';
import type { GossipState } from './gossip-state.js';
import { nextUpdates, recordHash } from './member-list.js';
import { nextSummaries } from './zone-summaries.js';

/**
 * @returns what every datagram to a member of the zone carries
 * @param receiverId where known, so that a suspicion of the receiver goes first and it can refute it
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
 * @returns a ping to a member or to an address whose member is not known
 */
export function pingMessage(state: GossipState, receiverId?: string): PingMessage {
  const sequence = allocateSequence(state);
  const header = zoneHeader(state, receiverId);
  return { type: 'ping', ...header, sequence, digest: ownDigest(state) };
}

/**
 * @returns the answer to a ping
 */
export function ackMessage(state: GossipState, sequence: number, receiverId?: string): AckMessage {
  return { type: 'ack', ...zoneHeader(state, receiverId), sequence, digest: ownDigest(state) };
}

/**
 * @returns a digest of all members, the sender among them, that is equal where the lists are
 */
export function ownDigest(state: GossipState): number {
  return (state.list.digest ^ recordHash(state.self)) >>> 0;
}

function allocateSequence(state: GossipState): number {
  const sequence = state.nextSequence;
  state.nextSequence += 1;
  return sequence;
}
