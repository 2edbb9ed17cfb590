/**
 * @file Explains one back end: its judged state, why, since when, the evidence, and the last changes. Plain data, so that it
 * can be sent as JSON. The sentences stand in the log line `Back end ID. It is STATE: ...` under `[health]`.
 */
import type { LoadReport } from './backend-report.js';
import type { DistrustCause } from './report-trust.js';
import type { Judgement, JudgedState, JudgementReason } from './judgement-state.js';

/** One change of state; `agoMs` is how long ago it was, in milliseconds. */
interface ExplainedTransition {
  readonly agoMs: number;
  readonly from: JudgedState;
  readonly to: JudgedState;
  readonly reason: JudgementReason;
}

/** What a balancer knows of one back end. Durations are in milliseconds. */
export interface BackendExplanation {
  readonly backendId: number;
  readonly state: JudgedState;
  readonly reason: JudgementReason;
  /** One sentence for people. */
  readonly sentence: string;
  /** Undefined before the first change. */
  readonly forMs: number | undefined;
  readonly failedProbes: number;
  readonly openTimeoutsInRow: number;
  readonly openRefusalsInRow: number;
  /** The last report; undefined where none has come. */
  readonly reportedLoad: LoadReport | undefined;
  /** Why reports are not believed; undefined where they are. */
  readonly distrust: DistrustCause | undefined;
  /** Oldest first. */
  readonly history: readonly ExplainedTransition[];
}

/** What each reason says, after "since" or "because". */
const sentences: Readonly<Record<JudgementReason, string>> = {
  'not-probed-yet': 'no health probe has come back yet',
  'reports-starting': 'it reports that it is starting',
  'reports-ready': 'it reports that it is ready',
  'reports-draining': 'it reports that it is draining',
  'readiness-unsteady': 'it must report ready several times, since it has changed often',
  'operators-drain': 'the operators drain it',
  'probes-fail': 'its health probes fail',
  'probes-fail-but-opens-succeed': 'it accepts opens, although its health probes fail',
  'probes-fail-everywhere': 'health probes fail on most back ends, so they are not believed',
  'opens-time-out': 'opens sent there time out, whatever its health probes say',
  'opens-refused': 'it refuses opens',
  'connections-full': 'it holds as many connections as it may',
};

/**
 * @returns why the back end is in its state, in one sentence
 */
export function reasonSentence(state: JudgedState, reason: JudgementReason): string {
  return `It is ${state}: ${sentences[reason]}.`;
}

/**
 * @param nowMs on the clock of the step that judged
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
    openTimeoutsInRow: judgement.timedOutInRow,
    openRefusalsInRow: judgement.refusedInRow,
    reportedLoad: judgement.trust.lastReport,
    distrust: judgement.trust.distrust,
    history: judgement.history.map(({ atMs, ...rest }) => ({ agoMs: nowMs - atMs, ...rest })),
  };
}
