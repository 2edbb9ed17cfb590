/**
 * @file Summarizes a run: compares the outcomes that callers saw with the requests that back ends ran, and counts
 * violations of the delivery guarantees.
 */
import type { RequestOutcome } from '../standins/caller-state.js';
import type { NoticeSummary } from '../standins/notice-summary.js';

/** Totals of the callers of a run. */
export interface RunRecord extends NoticeSummary {
  readonly outcomes: readonly RequestOutcome[];
  readonly brokenFlows: number;
  readonly wrongAnswers: number;
}

/** Requests that one back end ran. */
export interface BackendRuns {
  /** Request numbers in execution order. */
  readonly runs: readonly number[];
  readonly misrouted: number;
}

/** Outcomes of the requests and counts of violations. */
export interface RunSummary extends NoticeSummary {
  readonly requests: number;
  readonly answered: number;
  /** Requests whose caller got the answer "not run". */
  readonly refused: number;
  /** Requests that may or may not have run. */
  readonly outcomeUnknown: number;
  readonly brokenFlows: number;
  /** Packets or requests that reached a back end of another service. */
  readonly misrouted: number;
  /** Requests that ran more than once. */
  readonly ranTwice: number;
  /** Requests that ran though their caller got the answer "not run". */
  readonly falseNotRun: number;
  /** Requests that were neither refused nor answered completely and correctly. */
  readonly incompleteAnswers: number;
}

/**
 * @returns the summary of a run; needs the reports of all its back ends
 */
export function summarizeRun(record: RunRecord, backends: readonly BackendRuns[]): RunSummary {
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
 * @returns true if all counts of violations are 0
 */
export function hasNoViolations(summary: RunSummary): boolean {
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
