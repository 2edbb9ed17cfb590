/**
 * @file Detects that the process was stalled (a paused machine, no CPU time) from the gaps between its inputs and ticks.
 * Input that was queued during a stall may be outdated: other balancers may have placed the same opens, and senders may have
 * cancelled orders at another machine.
 */

/** How current the input that is read now is. */
export type InputFreshness =
  /** Not delayed by a stall. */
  | 'fresh'
  /** Possibly delayed by a stall that is shorter than the retention time of the peers. */
  | 'doubtful'
  /** Possibly delayed for longer than peers retain what happened and senders wait for an answer. */
  | 'stale';

/** Detects stalls of a process. */
export interface StallDetector {
  /** Records that the process is running; called for each input and tick before it is handled. */
  recordActivity(nowMs: number): void;
  freshnessAt(nowMs: number): InputFreshness;
}

/** Thresholds of the detector, in milliseconds. */
export interface StallDetectorOptions {
  /** Shortest gap between inputs and ticks that counts as a stall; longer than a tick. */
  readonly stallThresholdMs: number;
  /** Minimum time for which peers remember what happened during a stall. */
  readonly peerRetentionMs: number;
}

/** Time after a stall within which the queued input is read; new input that is rejected meanwhile is sent again. */
const BACKLOG_DRAIN_MS = 300;

/** @returns a detector without recorded activity */
export function createStallDetector({
  stallThresholdMs,
  peerRetentionMs,
}: StallDetectorOptions): StallDetector {
  let lastActiveAtMs: number | undefined;
  let stallDurationMs = 0;
  let freshFromMs = Number.NEGATIVE_INFINITY;

  return { recordActivity, freshnessAt };

  function recordActivity(nowMs: number): void {
    const inactiveMs = nowMs - (lastActiveAtMs ?? nowMs);
    lastActiveAtMs = nowMs;
    if (inactiveMs >= stallThresholdMs) {
      stallDurationMs = inactiveMs;
      freshFromMs = nowMs + BACKLOG_DRAIN_MS;
    }
  }

  function freshnessAt(nowMs: number): InputFreshness {
    if (nowMs >= freshFromMs) {
      return 'fresh';
    }
    return stallDurationMs < peerRetentionMs ? 'doubtful' : 'stale';
  }
}
