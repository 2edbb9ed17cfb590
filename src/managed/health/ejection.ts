/**
 * @file Outlier ejection: takes a back end out of service when its opens time out, whatever its probes report.
 * Ejections grow by exponential backoff. Only part of a service's back ends may be ejected at once, since the cause
 * may be this balancer's own network.
 */
import type { Judgement, JudgementGroup } from './judgement-state.js';

/** Number of consecutive timeouts. */
const TIMEOUTS_FOR_EJECTION = 3;
/** Share of timeouts among recent opens. */
const TIMEOUT_SHARE_FOR_EJECTION = 0.5;
/** Fewer outcomes than this are no basis for a share. */
const MIN_OUTCOMES_FOR_TIMEOUT_SHARE = 10;
/** Weight of the newest outcome in the exponential moving average. */
const TIMEOUT_SHARE_SMOOTHING_FACTOR = 0.1;
const INITIAL_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
/** The backoff starts over this long after the last ejection ended. */
const EJECTION_BACKOFF_RESET_MS = 60_000;
/** Part of a service's back ends that may be ejected at once; at least one, but never the only one. */
const MAX_EJECTED_SHARE = 0.3;

/**
 * Adds the outcome of an open to the moving average of timeouts.
 */
export function updateTimeoutShare(judgement: Judgement, timedOut: boolean): void {
  judgement.outcomeCount += 1;
  judgement.timeoutShare +=
    TIMEOUT_SHARE_SMOOTHING_FACTOR * (Number(timedOut) - judgement.timeoutShare);
}

/**
 * Ejects the back end if its opens time out and the service's ejection limit permits it.
 */
export function ejectIfTimingOut(judgement: Judgement, group: JudgementGroup, nowMs: number): void {
  if (isTimingOut(judgement) && canEject(judgement, group)) {
    eject(judgement, nowMs);
  }
}

function isTimingOut(judgement: Judgement): boolean {
  return (
    judgement.consecutiveTimeouts >= TIMEOUTS_FOR_EJECTION ||
    (judgement.outcomeCount >= MIN_OUTCOMES_FOR_TIMEOUT_SHARE &&
      judgement.timeoutShare >= TIMEOUT_SHARE_FOR_EJECTION)
  );
}

function canEject(judgement: Judgement, group: JudgementGroup): boolean {
  const minEjectable = group.size > 1 ? 1 : 0;
  const maxEjected = Math.max(minEjectable, Math.floor(MAX_EJECTED_SHARE * group.size));
  const takesFlows = judgement.state === 'ready' || judgement.state === 'busy';
  return takesFlows && group.ejected < maxEjected;
}

function eject(judgement: Judgement, nowMs: number): void {
  if (nowMs - judgement.ejectedUntilMs > EJECTION_BACKOFF_RESET_MS) {
    judgement.consecutiveEjections = 0;
  }
  const ejectionMs = Math.min(
    MAX_EJECTION_MS,
    INITIAL_EJECTION_MS * 2 ** judgement.consecutiveEjections,
  );
  judgement.ejectedUntilMs = nowMs + ejectionMs;
  judgement.consecutiveEjections += 1;
  judgement.timeoutShare = 0;
  judgement.outcomeCount = 0;
}
