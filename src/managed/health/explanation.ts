/**
 * @file Describes the judged state of a back end, with its reason, the evidence and recent changes. The description is
 * plain data that can be sent as JSON.
 */
import type { LoadReport } from './backend-report.js';
import type { DistrustCause } from './report-trust.js';
import type { Judgement, JudgedState, JudgementReason } from './judgement-state.js';

/** One change of state; `agoMs` is its age. */
interface ExplainedTransition {
  readonly agoMs: number;
  readonly from: JudgedState;
  readonly to: JudgedState;
  readonly reason: JudgementReason;
}

/** A balancer's description of one back end. */
export interface BackendExplanation {
  readonly backendId: number;
  readonly state: JudgedState;
  readonly reason: JudgementReason;
  /** State and reason in one readable sentence. */
  readonly sentence: string;
  /** Time in the current state; undefined before the first change. */
  readonly forMs: number | undefined;
  readonly failedProbes: number;
  readonly openTimeoutsInRow: number;
  readonly openRefusalsInRow: number;
  /** Last load report; undefined before the first. */
  readonly reportedLoad: LoadReport | undefined;
  /** Why load reports are not trusted; undefined if they are. */
  readonly distrust: DistrustCause | undefined;
  /** Oldest first. */
  readonly history: readonly ExplainedTransition[];
}

/** Text of each reason, without capital letter and full stop. */
const sentences: Readonly<Record<JudgementReason, string>> = {
  'not-probed-yet': 'no health probe has completed yet',
  'reports-starting': 'it reports that it is starting',
  'reports-ready': 'it reports that it is ready',
  'reports-draining': 'it reports that it is draining',
  'readiness-unsteady': 'it has not yet reported ready enough times in a row',
  'operators-drain': 'operators are draining it',
  'probes-fail': 'its health probes fail',
  'probes-fail-but-opens-succeed': 'it accepts opens, although its health probes fail',
  'probes-fail-everywhere': 'health probes fail on most back ends, so the failures are ignored',
  'opens-time-out': 'opens sent there time out, regardless of its health probes',
  'opens-refused': 'it refuses opens',
  'connections-full': 'it has reached its connection limit',
};

/**
 * @returns state and reason in one sentence, as logged
 */
export function reasonSentence(state: JudgedState, reason: JudgementReason): string {
  return `It is ${state}: ${sentences[reason]}.`;
}

/**
 * @param nowMs on the same clock as the judgement
 * @returns the description at `nowMs`
 */
export function explainJudgement(
  backendId: number,
  judgement: Judgement,
  nowMs: number,
): BackendExplanation {
  return {
    backendId,
    state: judgement.state,
    reason: judgement.reason,
    sentence: reasonSentence(judgement.state, judgement.reason),
    forMs: judgement.sinceMs === undefined ? undefined : nowMs - judgement.sinceMs,
    failedProbes: judgement.failedProbes,
    openTimeoutsInRow: judgement.consecutiveTimeouts,
    openRefusalsInRow: judgement.consecutiveRefusals,
    reportedLoad: judgement.trust.lastReport,
    distrust: judgement.trust.distrust,
    history: judgement.history.map(({ atMs, ...rest }) => ({ agoMs: nowMs - atMs, ...rest })),
  };
}
