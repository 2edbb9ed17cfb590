/**
 * @file The judgement of back ends: takes probes, answers to own opens and the operators' wishes as
 * evidence, and follows the rules from one state to the next.
 */
import type { BackendAdminState } from '../control/routing-config.js';
import type { HealthReport, LoadReport } from './backend-report.js';
import { probesFail, verdictOn, type Verdict } from './judgement-rules.js';
import type { Judgement, JudgementGroup, JudgementTransition } from './judgement-state.js';
import { createReportTrust, updateTrustOnAnswer, updateTrustOnReport } from './report-trust.js';

const HISTORY_LENGTH = 16;
const MAX_UNREADY_TIMES = 8;
/** Timeouts in a row, or part of many opens, for which a back end is ejected. */
const TIMEOUTS_FOR_EJECTION = 3;
const TIMEOUT_SHARE_FOR_EJECTION = 0.5;
const OUTCOMES_FOR_SHARE = 10;
/** Weight of the newest outcome in the share of timeouts. */
const TIMEOUT_SHARE_GAIN = 0.1;
const EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
/** Time since an ejection's end after which it no longer lengthens the next one. */
const CALM_MS = 60_000;
/** Part of a service's back ends that may be ejected at once; of two or more always one. */
const MAX_EJECTED_SHARE = 0.3;
const REFUSALS_FOR_BUSY = 3;
const BUSY_MS = 500;
const MAX_BUSY_MS = 8_000;
/** Reported use of the connection limit from which a back end that is first seen counts as warm. */
const WARM_FROM_USE = 0.05;

/** How an own open ended. */
export type OpenOutcome = 'accepted' | 'refused' | 'timed-out';

/** What one probe brought; each part is undefined where it brought none. */
interface ProbeEvidence {
  readonly health: HealthReport | undefined;
  readonly load: LoadReport | undefined;
}

/**
 * Takes what a probe brought.
 * @returns the change of state, if any
 */
export function updateOnProbe(
  judgement: Judgement,
  { health, load }: ProbeEvidence,
  group: JudgementGroup,
  nowMs: number,
): JudgementTransition | undefined {
  const failedBefore = probesFail(judgement);
  if (health === undefined) {
    judgement.failedProbes += 1;
    judgement.readyProbes = 0;
  } else {
    resetOnRestart(judgement, health.incarnation, nowMs);
    judgement.health = health;
    judgement.failedProbes = 0;
    judgement.readyProbes = health.state === 'ready' ? judgement.readyProbes + 1 : 0;
  }
  if (load !== undefined) {
    updateTrustOnReport(judgement.trust, load);
  }
  group.failingProbes += Number(probesFail(judgement)) - Number(failedBefore);
  return updateState(judgement, group, nowMs);
}

/**
 * Takes how an own open ended.
 * @param incarnation the back end's present one, where its answer told it
 * @returns the change of state, if any
 */
export function updateOnOpenOutcome(
  judgement: Judgement,
  outcome: OpenOutcome,
  incarnation: number | undefined,
  group: JudgementGroup,
  nowMs: number,
): JudgementTransition | undefined {
  if (incarnation !== undefined && judgement.health !== undefined) {
    resetOnRestart(judgement, incarnation, nowMs);
    judgement.health = { ...judgement.health, incarnation };
  }
  recordOutcome(judgement, outcome, nowMs);
  if (timesOut(judgement) && mayEject(judgement, group)) {
    eject(judgement, nowMs);
  }
  if (outcome === 'refused' && judgement.refusedInRow >= REFUSALS_FOR_BUSY) {
    holdBusy(judgement, nowMs);
  }
  return updateState(judgement, group, nowMs);
}

/**
 * Takes what the operators want of the back end.
 * @returns the change of state, if any
 */
export function updateAdminState(
  judgement: Judgement,
  adminState: BackendAdminState,
  group: JudgementGroup,
  nowMs: number,
): JudgementTransition | undefined {
  judgement.adminState = adminState;
  return updateState(judgement, group, nowMs);
}

/** A new process at the same address: the evidence on the last one no longer holds. */
function resetOnRestart(judgement: Judgement, incarnation: number, nowMs: number): void {
  if (judgement.health === undefined || judgement.health.incarnation === incarnation) {
    return;
  }
  Object.assign(judgement.trust, createReportTrust());
  judgement.timedOutInRow = 0;
  judgement.refusedInRow = 0;
  judgement.timeoutShare = 0;
  judgement.outcomes = 0;
  judgement.busyUntilMs = -Infinity;
  judgement.busyRepeats = 0;
  judgement.slowStartAtMs = nowMs;
}

function recordOutcome(judgement: Judgement, outcome: OpenOutcome, nowMs: number): void {
  const timedOut = outcome === 'timed-out';
  judgement.outcomes += 1;
  judgement.timeoutShare += TIMEOUT_SHARE_GAIN * (Number(timedOut) - judgement.timeoutShare);
  judgement.timedOutInRow = timedOut ? judgement.timedOutInRow + 1 : 0;
  if (timedOut) {
    return;
  }
  updateTrustOnAnswer(judgement.trust, outcome === 'accepted');
  if (outcome === 'accepted') {
    judgement.refusedInRow = 0;
    judgement.busyRepeats = 0;
    judgement.lastAcceptedAtMs = nowMs;
  } else {
    judgement.refusedInRow += 1;
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

function holdBusy(judgement: Judgement, nowMs: number): void {
  if (nowMs < judgement.busyUntilMs) {
    return;
  }
  judgement.busyUntilMs = nowMs + Math.min(MAX_BUSY_MS, BUSY_MS * 2 ** judgement.busyRepeats);
  judgement.busyRepeats += 1;
}

function updateState(
  judgement: Judgement,
  group: JudgementGroup,
  nowMs: number,
): JudgementTransition | undefined {
  const verdict = verdictOn(judgement, group, nowMs);
  if (verdict.state === judgement.state) {
    updateReason(judgement, verdict, group);
    return undefined;
  }
  const transition = {
    atMs: nowMs,
    from: judgement.state,
    to: verdict.state,
    reason: verdict.reason,
  };
  recordReadiness(judgement, verdict, nowMs);
  updateReason(judgement, verdict, group);
  judgement.state = verdict.state;
  judgement.sinceMs = nowMs;
  pushBounded(judgement.history, transition, HISTORY_LENGTH);
  return transition;
}

/** Keeps the group's count of ejected back ends. */
function updateReason(judgement: Judgement, { reason }: Verdict, group: JudgementGroup): void {
  group.ejected +=
    Number(reason === 'opens-time-out') - Number(judgement.reason === 'opens-time-out');
  judgement.reason = reason;
}

function recordReadiness(judgement: Judgement, verdict: Verdict, nowMs: number): void {
  const tookFlows = judgement.state === 'ready' || judgement.state === 'busy';
  const takesFlows = verdict.state === 'ready' || verdict.state === 'busy';
  if (tookFlows && !takesFlows && verdict.state !== 'draining') {
    pushBounded(judgement.unreadyAtMs, nowMs, MAX_UNREADY_TIMES);
  }
  const seenFirst = judgement.reason === 'not-probed-yet';
  if (!tookFlows && takesFlows && !(seenFirst && isWarm(judgement))) {
    judgement.slowStartAtMs = nowMs;
  }
}

function isWarm({ trust }: Judgement): boolean {
  const report = trust.lastReport;
  return report !== undefined && report.connections >= WARM_FROM_USE * report.connectionLimit;
}

function pushBounded<Item>(items: Item[], item: Item, bound: number): void {
  items.push(item);
  if (items.length > bound) {
    items.shift();
  }
}
