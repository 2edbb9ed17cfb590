/**
 * @file The counts of harm of a run: the answers that callers got against what back ends ran. Broken flows are one of the two measures of
 * the brief.
 */
import type { RequestOutcome } from '../standins/caller-state.js';
import type { NoticeSummary } from '../standins/notice-summary.js';

/** What the callers of a run saw. */
export interface RunRecord extends NoticeSummary {
  readonly outcomes: readonly RequestOutcome[];
  readonly brokenFlows: number;
  readonly wrongAnswers: number;
}

/** What one back end ran. */
export interface BackendRuns {
  /** Request numbers in the order in which they ran. */
  readonly runs: readonly number[];
  readonly misrouted: number;
}

/** The counts of harm, and what came of the requests. */
export interface HarmSummary extends NoticeSummary {
  readonly requests: number;
  readonly answered: number;
  /** Requests whose caller got the answer that they certainly did not run. */
  readonly refused: number;
  /** Requests that may or may not have run. */
  readonly outcomeUnknown: number;
  readonly brokenFlows: number;
  /** Packets or work that reached another service's back end. */
  readonly misrouted: number;
  /** Requests that ran more than once. */
  readonly ranTwice: number;
  /** Requests that ran though their caller got the answer "not run". */
  readonly falseNotRun: number;
  /** Requests that were not refused and got no whole, right answer. */
  readonly incompleteAnswers: number;
}

/**
 * @returns the counts of harm
 */
export function summarizeHarm(record: RunRecord, backends: readonly BackendRuns[]): HarmSummary {
  const runCounts = new Map<number, number>();
  for (const { runs } of backends) {
    for (const number of runs) {
      runCounts.set(number, (runCounts.get(number) ?? 0) + 1);
    }
  }
  const { outcomes } = record;
  const refusals = outcomes.filter((outcome) => outcome.type === 'not-run');
  const answered = outcomes.filter((outcome) => outcome.type === 'answered').length;
  const outcomeUnknown = outcomes.length - answered - refusals.length;
  return {
    requests: outcomes.length,
    answered,
    refused: refusals.length,
    outcomeUnknown,
    brokenFlows: record.brokenFlows,
    misrouted: backends.reduce((sum, backend) => sum + backend.misrouted, 0),
    ranTwice: [...runCounts.values()].filter((count) => count > 1).length,
    falseNotRun: refusals.filter(({ requestNumber }) => runCounts.has(requestNumber)).length,
    incompleteAnswers: outcomeUnknown + record.wrongAnswers,
    noticesDelivered: record.noticesDelivered,
    noticesLost: record.noticesLost,
    noticesDoubled: record.noticesDoubled,
  };
}

/**
 * @returns true where nothing was harmed
 */
export function isUnharmed(summary: HarmSummary): boolean {
  return (
    summary.brokenFlows === 0 &&
    summary.misrouted === 0 &&
    summary.ranTwice === 0 &&
    summary.falseNotRun === 0 &&
    summary.incompleteAnswers === 0 &&
    summary.noticesLost === 0 &&
    summary.noticesDoubled === 0
  );
}
