/**
 * @file Builds pings, acknowledgements and the gossip that each piggybacks: membership updates and one zone summary.
 * Building a header counts a transmission of each update in it.
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
 * @param receiverId if known, so that a suspicion of the receiver goes first and it can refute it
 * @returns the header of a message to a member of the own zone
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
 * @param receiverId undefined if the member at the address is unknown
 * @returns a ping with a new sequence number
 */
export function pingMessage(state: GossipState, receiverId?: string): PingMessage {
  const sequence = allocateSequence(state);
  const header = zoneHeader(state, receiverId);
  return { type: 'ping', ...header, sequence, digest: ownDigest(state) };
}

/**
 * @returns the acknowledgement of the ping with this sequence number
 */
export function ackMessage(state: GossipState, sequence: number, receiverId?: string): AckMessage {
  return { type: 'ack', ...zoneHeader(state, receiverId), sequence, digest: ownDigest(state) };
}

/**
 * @returns a digest of the member list including this balancer; equal if the lists are equal
 */
export function ownDigest(state: GossipState): number {
  return (state.list.digest ^ recordHash(state.self)) >>> 0;
}

function allocateSequence(state: GossipState): number {
  const sequence = state.nextSequence;
  state.nextSequence += 1;
  return sequence;
}
