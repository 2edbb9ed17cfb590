/**
 * @file Is a back end ejected because opens sent to it time out, and for how long? It is after three timeouts in a row, or
 * when half of its recent opens timed out, whatever its probes say: first for 5 s, then twice as long each time, up to a
 * minute. At most 30 % of a service's back ends are ejected at once, since this balancer's own network may be the cause; of
 * two or more back ends always one may be, and the only one never.
 *
 * Inputs: the outcomes of own opens, the counts of the service's group, and the time of the step in milliseconds. Sets
 * `ejectedUntilMs`; `judgement-rules.ts` turns it into the state `down` with the reason `opens-time-out`.
 */
import type { Judgement, JudgementGroup } from './judgement-state.js';

/** Timeouts in a row for an ejection. Not measured; too low if back ends are ejected at random losses of packets. */
const TIMEOUTS_FOR_EJECTION = 3;
/**
 * Share of timeouts for an ejection. Not measured; too high if a back end that fails now and then keeps its full
 * share.
 */
const TIMEOUT_SHARE_FOR_EJECTION = 0.5;
/**
 * Outcomes from which the share of timeouts counts. Not measured; it keeps a few early timeouts from counting as
 * half.
 */
const OUTCOMES_FOR_SHARE = 10;
/** Weight of the newest outcome in the share of timeouts: about the last ten outcomes count. Not measured. */
const TIMEOUT_SHARE_GAIN = 0.1;
/**
 * Length of the first ejection, in milliseconds. Not measured; too short if the log shows the same back end go down for
 * `opens-time-out` again and again, too long if others turn busy while it is out and healthy.
 */
const EJECTION_MS = 5_000;
/** Longest ejection, in milliseconds. Not measured; too long if a back end that has recovered stays out of use. */
const MAX_EJECTION_MS = 60_000;
/** Time since an ejection's end after which it no longer lengthens the next one, in milliseconds. Not measured. */
const CALM_MS = 60_000;
/**
 * Part of a service's back ends that may be ejected at once; of two or more always one. Not measured; too high if a
 * fault in this balancer's own network leaves the rest overloaded, too low if more than that fail and opens time out.
 */
const MAX_EJECTED_SHARE = 0.3;

/**
 * Counts one outcome in the share of timeouts.
 */
export function recordTimeoutShare(judgement: Judgement, timedOut: boolean): void {
  judgement.outcomes += 1;
  judgement.timeoutShare += TIMEOUT_SHARE_GAIN * (Number(timedOut) - judgement.timeoutShare);
}

/**
 * Ejects the back end where its opens time out and the service can spare it.
 */
export function ejectIfTimingOut(judgement: Judgement, group: JudgementGroup, nowMs: number): void {
  if (timesOut(judgement) && mayEject(judgement, group)) {
    eject(judgement, nowMs);
  }
}

function timesOut(judgement: Judgement): boolean {
  return (
    judgement.timedOutInRow >= TIMEOUTS_FOR_EJECTION ||
    (judgement.outcomes >= OUTCOMES_FOR_SHARE &&
      judgement.timeoutShare >= TIMEOUT_SHARE_FOR_EJECTION)
  );
}

function mayEject(judgement: Judgement, group: JudgementGroup): boolean {
  const least = group.size > 1 ? 1 : 0;
  const bound = Math.max(least, Math.floor(MAX_EJECTED_SHARE * group.size));
  const takesFlows = judgement.state === 'ready' || judgement.state === 'busy';
  return takesFlows && group.ejected < bound;
}

function eject(judgement: Judgement, nowMs: number): void {
  if (nowMs - judgement.ejectedUntilMs > CALM_MS) {
    judgement.ejections = 0;
  }
  const ejectionMs = Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** judgement.ejections);
  judgement.ejectedUntilMs = nowMs + ejectionMs;
  judgement.ejections += 1;
  judgement.timeoutShare = 0;
  judgement.outcomes = 0;
}
