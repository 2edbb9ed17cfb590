/**
 * @file Which state does the evidence on a back end call for? The rules in order of precedence:
 *
 * 1. drained by the operators, or reporting that it drains: `draining`;
 * 2. probes fail and are believed: `down`; never probed: `starting`;
 * 3. ejected for timeouts (`ejection.ts`): `down`;
 * 4. reports `starting`, or has not reported `ready` often enough after a loss: `starting`;
 * 5. refuses opens (`busy-hold.ts`), or holds as many connections as it may: `busy`;
 * 6. otherwise `ready`.
 *
 * No single source is believed alone: probes, load reports and own opens may each lag or be wrong. Inputs: the judgement of
 * one back end, the counts of its service's group, the time in milliseconds. Changes nothing.
 */
import type { Judgement, JudgedState, JudgementGroup, JudgementReason } from './judgement-state.js';

/**
 * Failed probes in a row that count as failing. Not measured; too low if the log shows `probes-fail` for back ends
 * that accept opens.
 */
const FAILED_PROBES_FOR_DOWN = 3;
/**
 * An open accepted within this time outweighs failed probes, in milliseconds. Not measured; too long if opens time
 * out at a dead back end.
 */
const ACCEPTED_PROOF_MS = 2_000;
/**
 * Part of a service's back ends beyond which failed probes are taken for a fault of the prober's own network. Not measured;
 * too low if the reason `probes-fail-everywhere` shows in the log while the back ends are really down.
 */
const MAX_FAILING_SHARE = 0.5;
/** Timeouts in a row that confirm failed probes; as many as for an ejection. Not measured. */
const TIMEOUTS_FOR_DOWN = 3;
/**
 * Use of the connection limit below which a full back end is no longer full. Not measured; too high if a back end
 * changes between ready and busy.
 */
const NO_LONGER_FULL_BELOW = 0.95;
/**
 * How long a loss of readiness is counted, in milliseconds, and the most ready probes in a row that are asked for.
 * Not measured.
 */
const UNREADY_MEMORY_MS = 60_000;
const MAX_READY_PROBES = 16;

/** A state with its reason. */
export interface Verdict {
  readonly state: JudgedState;
  readonly reason: JudgementReason;
}

/**
 * @returns the state that the evidence calls for
 */
export function verdictOn(judgement: Judgement, group: JudgementGroup, nowMs: number): Verdict {
  return (
    drainVerdict(judgement) ??
    probeVerdict(judgement, group, nowMs) ??
    ejectionVerdict(judgement, nowMs) ??
    readinessVerdict(judgement, nowMs) ??
    loadVerdict(judgement, nowMs) ?? { state: 'ready', reason: readyReason(judgement, group) }
  );
}

/**
 * @returns true where enough probes in a row have failed
 */
export function probesFail(judgement: Judgement): boolean {
  return judgement.failedProbes >= FAILED_PROBES_FOR_DOWN;
}

function drainVerdict(judgement: Judgement): Verdict | undefined {
  if (judgement.adminState === 'draining') {
    return { state: 'draining', reason: 'operators-drain' };
  }
  if (judgement.health?.state === 'draining' && !probesFail(judgement)) {
    return { state: 'draining', reason: 'reports-draining' };
  }
  return undefined;
}

function probeVerdict(
  judgement: Judgement,
  group: JudgementGroup,
  nowMs: number,
): Verdict | undefined {
  if (probesFail(judgement)) {
    const isDown = judgement.health === undefined || probesAreBelieved(judgement, group, nowMs);
    return isDown ? { state: 'down', reason: 'probes-fail' } : undefined;
  }
  return judgement.health === undefined
    ? { state: 'starting', reason: 'not-probed-yet' }
    : undefined;
}

function probesAreBelieved(judgement: Judgement, group: JudgementGroup, nowMs: number): boolean {
  if (nowMs - judgement.lastAcceptedAtMs < ACCEPTED_PROOF_MS) {
    return false;
  }
  const isConfirmed = judgement.timedOutInRow >= TIMEOUTS_FOR_DOWN;
  const wasDraining = judgement.health?.state === 'draining';
  return isConfirmed || wasDraining || !probesFailEverywhere(group);
}

function probesFailEverywhere(group: JudgementGroup): boolean {
  return group.failingProbes > Math.ceil(MAX_FAILING_SHARE * group.size);
}

function ejectionVerdict(judgement: Judgement, nowMs: number): Verdict | undefined {
  return nowMs < judgement.ejectedUntilMs ? { state: 'down', reason: 'opens-time-out' } : undefined;
}

function readinessVerdict(judgement: Judgement, nowMs: number): Verdict | undefined {
  if (judgement.health?.state === 'starting' && !probesFail(judgement)) {
    return { state: 'starting', reason: 'reports-starting' };
  }
  const wasOut = judgement.state === 'starting' || judgement.state === 'down';
  if (wasOut && judgement.readyProbes < readyProbesNeeded(judgement, nowMs)) {
    return { state: 'starting', reason: 'readiness-unsteady' };
  }
  return undefined;
}

/**
 * One at first; twice as many with each loss of readiness in the last minute, so a flapping back end returns ever
 * more slowly.
 */
function readyProbesNeeded(judgement: Judgement, nowMs: number): number {
  const losses = judgement.unreadyAtMs.filter((atMs) => nowMs - atMs < UNREADY_MEMORY_MS).length;
  return Math.min(MAX_READY_PROBES, 2 ** losses);
}

function loadVerdict(judgement: Judgement, nowMs: number): Verdict | undefined {
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
  const bound = wasFull ? NO_LONGER_FULL_BELOW * report.connectionLimit : report.connectionLimit;
  return report.connections >= bound;
}

function readyReason(judgement: Judgement, group: JudgementGroup): JudgementReason {
  if (!probesFail(judgement)) {
    return 'reports-ready';
  }
  return probesFailEverywhere(group) ? 'probes-fail-everywhere' : 'probes-fail-but-opens-succeed';
}
