/**
 * @file The health state machine of a back end. It records probe results, outcomes of this balancer's opens and the
 * administrative state, evaluates the state by `judgement-rules.ts`, and returns each change.
 */
import type { BackendAdminState } from '../control/routing-config.js';
import type { HealthReport, LoadReport } from './backend-report.js';
import { markBusyIfRefusing } from './busy-backoff.js';
import { ejectIfTimingOut, updateTimeoutShare } from './ejection.js';
import { probesFail, evaluateState, type EvaluatedState } from './judgement-rules.js';
import type { Judgement, JudgementGroup, JudgementTransition } from './judgement-state.js';
import { createReportTrust, updateTrustOnAnswer, updateTrustOnReport } from './report-trust.js';

/** Number of state changes kept for `explanation.ts`. */
const HISTORY_LENGTH = 16;
/** Above the four losses that already require the maximum number of ready probes. */
const MAX_READINESS_LOSSES = 8;
/** A back end that is first seen with at least this utilization counts as warm and skips slow start. */
const MIN_WARM_UTILIZATION = 0.05;

/** Outcome of an open that this balancer sent. */
export type OpenOutcome = 'accepted' | 'refused' | 'timed-out';

/** Result of one probe; a part is undefined if its endpoint gave no valid response. */
interface ProbeEvidence {
  readonly health: HealthReport | undefined;
  readonly load: LoadReport | undefined;
}

/**
 * Records a probe result and updates the state.
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
 * Records the outcome of an open and updates the state.
 * @param incarnation the back end's current incarnation, if its answer carried one
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
    markBusyIfRefusing(judgement, nowMs);
  }
  return updateState(judgement, group, nowMs);
}

/**
 * Sets the administrative state and updates the judged state.
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

/** Drops evidence about the previous process when a new incarnation is seen, and begins slow start. */
function resetOnRestart(judgement: Judgement, incarnation: number, nowMs: number): void {
  if (judgement.health === undefined || judgement.health.incarnation === incarnation) {
    return;
  }
  Object.assign(judgement.trust, createReportTrust());
  judgement.consecutiveTimeouts = 0;
  judgement.consecutiveRefusals = 0;
  judgement.timeoutShare = 0;
  judgement.outcomeCount = 0;
  judgement.busyUntilMs = -Infinity;
  judgement.consecutiveBusyPeriods = 0;
  judgement.slowStartAtMs = nowMs;
}

function recordOutcome(judgement: Judgement, outcome: OpenOutcome, nowMs: number): void {
  const timedOut = outcome === 'timed-out';
  updateTimeoutShare(judgement, timedOut);
  judgement.consecutiveTimeouts = timedOut ? judgement.consecutiveTimeouts + 1 : 0;
  if (timedOut) {
    return;
  }
  updateTrustOnAnswer(judgement.trust, outcome === 'accepted');
  if (outcome === 'accepted') {
    judgement.consecutiveRefusals = 0;
    judgement.consecutiveBusyPeriods = 0;
    judgement.lastAcceptedAtMs = nowMs;
  } else {
    judgement.consecutiveRefusals += 1;
  }
}

function updateState(
  judgement: Judgement,
  group: JudgementGroup,
  nowMs: number,
): JudgementTransition | undefined {
  const evaluated = evaluateState(judgement, group, nowMs);
  if (evaluated.state === judgement.state) {
    updateReason(judgement, evaluated, group);
    return undefined;
  }
  const transition = {
    atMs: nowMs,
    from: judgement.state,
    to: evaluated.state,
    reason: evaluated.reason,
  };
  recordReadiness(judgement, evaluated, nowMs);
  updateReason(judgement, evaluated, group);
  judgement.state = evaluated.state;
  judgement.sinceMs = nowMs;
  pushBounded(judgement.history, transition, HISTORY_LENGTH);
  return transition;
}

/** Also maintains the group's count of ejected back ends. */
function updateReason(
  judgement: Judgement,
  { reason }: EvaluatedState,
  group: JudgementGroup,
): void {
  group.ejected +=
    Number(reason === 'opens-time-out') - Number(judgement.reason === 'opens-time-out');
  judgement.reason = reason;
}

function recordReadiness(judgement: Judgement, evaluated: EvaluatedState, nowMs: number): void {
  const tookFlows = judgement.state === 'ready' || judgement.state === 'busy';
  const takesFlows = evaluated.state === 'ready' || evaluated.state === 'busy';
  if (tookFlows && !takesFlows && evaluated.state !== 'draining') {
    pushBounded(judgement.readinessLostAtMs, nowMs, MAX_READINESS_LOSSES);
  }
  const isFirstSeen = judgement.reason === 'not-probed-yet';
  if (!tookFlows && takesFlows && !(isFirstSeen && isWarm(judgement))) {
    judgement.slowStartAtMs = nowMs;
  }
}

function isWarm({ trust }: Judgement): boolean {
  const report = trust.lastReport;
  return (
    report !== undefined && report.connections >= MIN_WARM_UTILIZATION * report.connectionLimit
  );
}

function pushBounded<Item>(items: Item[], item: Item, bound: number): void {
  items.push(item);
  if (items.length > bound) {
    items.shift();
  }
}
