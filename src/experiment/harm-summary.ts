/**
 * @file The counts of harm of a run: what callers were promised against what back ends ran.
 */
import type { RequestOutcome } from '../standins/caller-state.js';
import type { NoticeSummary } from '../standins/notice-summary.js';

/** What the callers of a run saw. */
export interface RunRecord {
  readonly requests: number;
  readonly outcomes: RequestOutcome[];
  brokenFlows: number;
  wrongAnswers: number;
  noticesDelivered: number;
  noticesLost: number;
  noticesDoubled: number;
}

/** What one back end ran. */
export interface BackendRuns {
  /** Request numbers in the order in which they ran. */
  readonly runs: readonly number[];
  readonly misrouted: number;
}

/** The counts of harm. */
export interface HarmSummary extends NoticeSummary {
  readonly requests: number;
  readonly answered: number;
  readonly brokenFlows: number;
  /** Packets or work that reached another service's back end. */
  readonly misrouted: number;
  /** Requests that ran more than once. */
  readonly ranTwice: number;
  /** Requests that ran though their caller was told "not run". */
  readonly falseNotRun: number;
  /** Requests without their whole, right answer. */
  readonly incompleteAnswers: number;
}

/**
 * @returns the counts of harm
 */
export function summarizeHarm(record: RunRecord, backends: readonly BackendRuns[]): HarmSummary {
  const runCounts = new Map<number, number>();
  for (const number of backends.flatMap((backend) => backend.runs)) {
    runCounts.set(number, (runCounts.get(number) ?? 0) + 1);
  }
  const answered = record.outcomes.filter((outcome) => outcome.type === 'answered').length;
  const falseNotRun = record.outcomes.filter(
    (outcome) => outcome.type === 'not-run' && runCounts.has(outcome.requestNumber),
  ).length;
  return {
    requests: record.requests,
    answered,
    brokenFlows: record.brokenFlows,
    misrouted: backends.reduce((sum, backend) => sum + backend.misrouted, 0),
    ranTwice: [...runCounts.values()].filter((count) => count > 1).length,
    falseNotRun,
    incompleteAnswers: record.requests - answered + record.wrongAnswers,
    noticesDelivered: record.noticesDelivered,
    noticesLost: record.noticesLost,
    noticesDoubled: record.noticesDoubled,
  };
}

/**
 * @returns true where nothing was harmed and every request got its whole answer
 */
export function isUnharmed(summary: HarmSummary): boolean {
  return (
    summary.answered === summary.requests &&
    summary.brokenFlows === 0 &&
    summary.misrouted === 0 &&
    summary.ranTwice === 0 &&
    summary.falseNotRun === 0 &&
    summary.incompleteAnswers === 0 &&
    summary.noticesLost === 0 &&
    summary.noticesDoubled === 0
  );
}
