/**
 * @file From which pause of this process on may an order that was read after it be late?
 *
 * Returns the guard that zone-order-calls.ts asks before it accepts an order. How long orders are refused after a pause
 * stands in shared/common/stall-guard.ts.
 */
import { createStallDetector, type StallDetector } from '../../../shared/common/stall-guard.js';

/**
 * A pause of this process from which on orders may be late. An order that waited for less is as new as any that was on
 * its way: its sender waits for a second. Shorter pauses were not tried; that an order may be read more than 0.3 s
 * after a pause is an accepted limit (docs/design/zones-and-slow-start.md).
 */
const ORDER_STALL_MS = 300;

/** @returns the guard that detects pauses of this process; no order is remembered by others, so none is doubtful */
export function createOrderGuard(): StallDetector {
  return createStallDetector({ stallThresholdMs: ORDER_STALL_MS, peerRetentionMs: 0 });
}
