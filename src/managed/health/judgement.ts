/**
 * @file In which state is a back end, as this balancer judges it? Records the evidence (probes, outcomes of own opens, what
 * the operators want) and follows the rules from one state to the next. The rules stand in `judgement-rules.ts` (state by
 * evidence), `ejection.ts` (timeouts), `busy-hold.ts` (refusals) and `report-trust.ts` (load reports).
 *
 * Owns `Judgement`: no other module changes one. Times are in milliseconds on the clock of the step. Each change of state
 * is returned, and the daemon logs it under `[health]` with its reason.
 */
import type { BackendAdminState } from '../control/routing-config.js';
import type { HealthReport, LoadReport } from './backend-report.js';
import { holdBusyIfRefusing } from './busy-hold.js';
import { ejectIfTimingOut, recordTimeoutShare } from './ejection.js';
import { probesFail, verdictOn, type Verdict } from './judgement-rules.js';
import type { Judgement, JudgementGroup, JudgementTransition } from './judgement-state.js';
import { createReportTrust, updateTrustOnAnswer, updateTrustOnReport } from './report-trust.js';

/** Changes of state that are kept for `explanation.ts`. */
const HISTORY_LENGTH = 16;
/** Losses of readiness that are kept; more would ask for more than the 16 ready probes that are the most. */
const MAX_UNREADY_TIMES = 8;
/**
 * Reported use of the connection limit from which a back end that is first seen counts as warm. Not measured; too low if a
 * cold back end gets a full share of flows after a restart of this balancer.
 */
const WARM_FROM_USE = 0.05;

/** How an own open ended. */
export type OpenOutcome = 'accepted' | 'refused' | 'timed-out';

/** What one probe returned; each part is undefined where the endpoint gave no valid answer. */
interface ProbeEvidence {
  readonly health: HealthReport | undefined;
  readonly load: LoadReport | undefined;
}

/**
 * Records what a probe returned, and updates the state.
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
 * Records how an own open ended, and updates the state.
 * @param incarnation the back end's present incarnation, where its answer carried one
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
  ejectIfTimingOut(judgement, group, nowMs);
  if (outcome === 'refused') {
    holdBusyIfRefusing(judgement, nowMs);
  }
  return updateState(judgement, group, nowMs);
}

/**
 * Sets what the operators want of the back end, and updates the state.
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

/** A new process at the same address: the evidence about the former one is dropped. */
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
  recordTimeoutShare(judgement, timedOut);
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
