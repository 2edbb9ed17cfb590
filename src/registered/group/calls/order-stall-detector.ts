/**
 * @file Detects pauses of this process after which a queued zone order may be outdated (zone-order-calls.ts).
 */
import { createStallDetector, type StallDetector } from '../../../shared/common/stall-detector.js';

/** Shorter than the time for which the sender of an order waits. */
const ORDER_STALL_MS = 300;

/** @returns the detector; orders are either fresh or stale, since other machines keep no record of them */
export function createOrderStallDetector(): StallDetector {
  return createStallDetector({ stallThresholdMs: ORDER_STALL_MS, peerRetentionMs: 0 });
}
