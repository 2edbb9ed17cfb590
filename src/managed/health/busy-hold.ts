/**
 * @file How long does a back end count as busy that refuses opens? After three refusals in a row for half a second, then
 * twice as long with each repetition, up to 8 s, until it accepts an open. A busy back end gets new flows only where no
 * other is ready.
 *
 * Inputs: refusals of own opens in a row, and the time of the step in milliseconds. Sets `busyUntilMs`;
 * `judgement-rules.ts` turns it into the state `busy` with the reason `opens-refused`.
 */
import type { Judgement } from './judgement-state.js';

/**
 * Refusals in a row for which a back end counts as busy. Not measured; too low if back ends turn busy below their
 * limits.
 */
const REFUSALS_FOR_BUSY = 3;
/**
 * Length of the first busy time, in milliseconds. Not measured; too short if the share of refused attempts stays
 * high.
 */
const BUSY_MS = 500;
/** Longest busy time, in milliseconds. Not measured; too long if a back end with room stays unused. */
const MAX_BUSY_MS = 8_000;

/**
 * Holds the back end busy after a refusal, where enough came in a row.
 */
export function holdBusyIfRefusing(judgement: Judgement, nowMs: number): void {
  if (judgement.refusedInRow >= REFUSALS_FOR_BUSY) {
    holdBusy(judgement, nowMs);
  }
}

function holdBusy(judgement: Judgement, nowMs: number): void {
  if (nowMs < judgement.busyUntilMs) {
    return;
  }
  judgement.busyUntilMs = nowMs + Math.min(MAX_BUSY_MS, BUSY_MS * 2 ** judgement.busyRepeats);
  judgement.busyRepeats += 1;
}
