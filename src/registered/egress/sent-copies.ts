/**
 * @file Suppresses copies of packets that were just sent from the queue. Clients retransmit a whole window while an
 * earlier packet is still queued, and the receiver already has these. A packet lost after the link is repaired by a
 * later copy.
 */
import { createExpiringMap } from '../../shared/common/expiring-map.js';
import type { WaitingPacket } from './flow-queues.js';

/** Packets sent recently. */
export interface SentCopies {
  record(packet: WaitingPacket<unknown>, nowMs: number): void;
  has(packet: WaitingPacket<unknown>, nowMs: number): boolean;
}

/** Clients retransmit after 200 ms and again 400 ms later: suppresses the first copy, not the second. */
const SUPPRESSION_PERIOD_MS = 300;
/** Per period; full packets at about 50 Mbit/s. */
const MAX_ENTRIES = 1_500;

/** @returns an empty record */
export function createSentCopies(): SentCopies {
  const sentAtMs = createExpiringMap<string, number>({
    periodMs: SUPPRESSION_PERIOD_MS,
    maxEntries: MAX_ENTRIES,
  });

  return { record, has };

  function record({ flow, content }: WaitingPacket<unknown>, nowMs: number): void {
    if (content !== undefined) {
      sentAtMs.set(keyOf(flow, content), nowMs, nowMs);
    }
  }

  function has({ flow, content }: WaitingPacket<unknown>, nowMs: number): boolean {
    const atMs = content === undefined ? undefined : sentAtMs.get(keyOf(flow, content), nowMs);
    return atMs !== undefined && nowMs - atMs < SUPPRESSION_PERIOD_MS;
  }
}

function keyOf(flow: string, content: string): string {
  return `${flow}/${content}`;
}
