/**
 * @file Marks a back end as busy after consecutive refusals of opens. Busy periods grow by exponential backoff until
 * the back end accepts an open.
 */
import type { Judgement } from './judgement-state.js';

/** Number of consecutive refusals. */
const BUSY_AFTER_REFUSALS = 3;
const INITIAL_BUSY_MS = 500;
const MAX_BUSY_MS = 8_000;

/**
 * Starts a busy period once there are enough consecutive refusals, unless one is in progress.
 */
export function markBusyIfRefusing(judgement: Judgement, nowMs: number): void {
  if (judgement.consecutiveRefusals >= BUSY_AFTER_REFUSALS) {
    startBusyPeriod(judgement, nowMs);
  }
}

function startBusyPeriod(judgement: Judgement, nowMs: number): void {
  if (nowMs < judgement.busyUntilMs) {
    return;
  }
  judgement.busyUntilMs =
    nowMs + Math.min(MAX_BUSY_MS, INITIAL_BUSY_MS * 2 ** judgement.consecutiveBusyPeriods);
  judgement.consecutiveBusyPeriods += 1;
}
