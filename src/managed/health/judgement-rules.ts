/**
 * @file Derives the state of a back end from the evidence, by rules in a fixed order of precedence. Probes, load reports
 * and own opens are checked against each other, since each may be outdated or wrong.
 */
import type { Judgement, JudgedState, JudgementGroup, JudgementReason } from './judgement-state.js';

/** Number of consecutive failed probes. */
const FAILED_PROBES_FOR_DOWN = 3;
/** An open accepted within this time outweighs failed probes. */
const RECENT_ACCEPT_WINDOW_MS = 2_000;
/** If probes fail on a larger part of a service's back ends, the fault is assumed to be in this balancer's network. */
const MAX_FAILING_SHARE = 0.5;
/** Number of consecutive timeouts of opens that confirm failed probes; as many as for an ejection. */
const TIMEOUTS_FOR_DOWN = 3;
/** A full back end stays full until its utilization drops below this (hysteresis). */
const FULL_CLEAR_UTILIZATION = 0.95;
/** Losses of readiness within this window raise the number of ready probes required. */
const READINESS_LOSS_WINDOW_MS = 60_000;
const MAX_READY_PROBES = 16;

/** The state that results from the evidence, with its reason. */
export interface EvaluatedState {
  readonly state: JudgedState;
  readonly reason: JudgementReason;
}

/**
 * @returns the result of the first rule that applies, or `ready`
 */
export function evaluateState(
  judgement: Judgement,
  group: JudgementGroup,
  nowMs: number,
): EvaluatedState {
  return (
    evaluateDrain(judgement) ??
    evaluateProbes(judgement, group, nowMs) ??
    evaluateEjection(judgement, nowMs) ??
    evaluateReadiness(judgement, nowMs) ??
    evaluateLoad(judgement, nowMs) ?? { state: 'ready', reason: readyReason(judgement, group) }
  );
}

/**
 * @returns true if enough consecutive probes have failed
 */
export function probesFail(judgement: Judgement): boolean {
  return judgement.failedProbes >= FAILED_PROBES_FOR_DOWN;
}

function evaluateDrain(judgement: Judgement): EvaluatedState | undefined {
  if (judgement.adminState === 'draining') {
    return { state: 'draining', reason: 'operators-drain' };
  }
  if (judgement.health?.state === 'draining' && !probesFail(judgement)) {
    return { state: 'draining', reason: 'reports-draining' };
  }
  return undefined;
}

function evaluateProbes(
  judgement: Judgement,
  group: JudgementGroup,
  nowMs: number,
): EvaluatedState | undefined {
  if (probesFail(judgement)) {
    const isDown =
      judgement.health === undefined || areProbeFailuresTrusted(judgement, group, nowMs);
    return isDown ? { state: 'down', reason: 'probes-fail' } : undefined;
  }
  return judgement.health === undefined
    ? { state: 'starting', reason: 'not-probed-yet' }
    : undefined;
}

function areProbeFailuresTrusted(
  judgement: Judgement,
  group: JudgementGroup,
  nowMs: number,
): boolean {
  if (nowMs - judgement.lastAcceptedAtMs < RECENT_ACCEPT_WINDOW_MS) {
    return false;
  }
  const isConfirmed = judgement.consecutiveTimeouts >= TIMEOUTS_FOR_DOWN;
  const wasDraining = judgement.health?.state === 'draining';
  return isConfirmed || wasDraining || !probesFailEverywhere(group);
}

function probesFailEverywhere(group: JudgementGroup): boolean {
  return group.failingProbes > Math.ceil(MAX_FAILING_SHARE * group.size);
}

function evaluateEjection(judgement: Judgement, nowMs: number): EvaluatedState | undefined {
  return nowMs < judgement.ejectedUntilMs ? { state: 'down', reason: 'opens-time-out' } : undefined;
}

function evaluateReadiness(judgement: Judgement, nowMs: number): EvaluatedState | undefined {
  if (judgement.health?.state === 'starting' && !probesFail(judgement)) {
    return { state: 'starting', reason: 'reports-starting' };
  }
  const wasOut = judgement.state === 'starting' || judgement.state === 'down';
  if (wasOut && judgement.readyProbes < requiredReadyProbes(judgement, nowMs)) {
    return { state: 'starting', reason: 'readiness-unsteady' };
  }
  return undefined;
}

/** Doubles with each recent loss of readiness, to dampen flapping. */
function requiredReadyProbes(judgement: Judgement, nowMs: number): number {
  const losses = judgement.readinessLostAtMs.filter(
    (atMs) => nowMs - atMs < READINESS_LOSS_WINDOW_MS,
  ).length;
  return Math.min(MAX_READY_PROBES, 2 ** losses);
}

function evaluateLoad(judgement: Judgement, nowMs: number): EvaluatedState | undefined {
  if (nowMs < judgement.busyUntilMs) {
    return { state: 'busy', reason: 'opens-refused' };
  }
  return isFull(judgement) ? { state: 'busy', reason: 'connections-full' } : undefined;
}

function isFull({ state, reason, trust }: Judgement): boolean {
  const report = trust.lastReport;
  if (report === undefined || trust.distrust !== undefined) {
    return false;
  }
  const wasFull = state === 'busy' && reason === 'connections-full';
  const threshold = wasFull
    ? FULL_CLEAR_UTILIZATION * report.connectionLimit
    : report.connectionLimit;
  return report.connections >= threshold;
}

function readyReason(judgement: Judgement, group: JudgementGroup): JudgementReason {
  if (!probesFail(judgement)) {
    return 'reports-ready';
  }
  return probesFailEverywhere(group) ? 'probes-fail-everywhere' : 'probes-fail-but-opens-succeed';
}
