/** @file The run summary counts each contradiction between outcomes at callers and runs at back ends. */
import t from 'tap';
import {
  hasNoViolations,
  summarizeRun,
  type RunRecord,
} from '../../../src/proof/demo/run-summary.js';
import type { RequestOutcome } from '../../../src/proof/standins/caller-state.js';

const answered = (requestNumber: number): RequestOutcome => ({
  type: 'answered',
  requestNumber,
  latencyMs: 5,
});
const refused = (requestNumber: number): RequestOutcome => ({
  type: 'not-run',
  requestNumber,
  kind: 'overloaded',
});
const unknown = (requestNumber: number): RequestOutcome => ({
  type: 'unknown',
  requestNumber,
  kind: 'deadline-exceeded',
});

function recordOf(outcomes: RequestOutcome[], totals: Partial<RunRecord> = {}): RunRecord {
  const notices = { noticesDelivered: 0, noticesLost: 0, noticesDoubled: 0 };
  return { outcomes, brokenFlows: 0, wrongAnswers: 0, ...notices, ...totals };
}

const noRuns = { misrouted: 0, runs: [] };

t.test('answers and correct refusals are no violations', async (t) => {
  const summary = summarizeRun(recordOf([answered(1), refused(2)]), [{ misrouted: 0, runs: [1] }]);
  t.match(summary, { requests: 2, answered: 1, refused: 1, outcomeUnknown: 0 });
  t.ok(hasNoViolations(summary));
});

t.test('each violation is counted separately', async (t) => {
  const cases = [
    [recordOf([refused(2)]), [{ misrouted: 0, runs: [2] }], 'falseNotRun'],
    [
      recordOf([answered(1)]),
      [
        { misrouted: 0, runs: [1] },
        { misrouted: 0, runs: [1] },
      ],
      'ranTwice',
    ],
    [recordOf([answered(1)]), [{ misrouted: 1, runs: [1] }], 'misrouted'],
    [recordOf([unknown(1)]), [noRuns], 'incompleteAnswers'],
    [recordOf([answered(1)], { wrongAnswers: 1 }), [noRuns], 'incompleteAnswers'],
    [recordOf([], { brokenFlows: 1 }), [noRuns], 'brokenFlows'],
    [recordOf([], { noticesLost: 1 }), [noRuns], 'noticesLost'],
    [recordOf([], { noticesDoubled: 1 }), [noRuns], 'noticesDoubled'],
  ] as const;
  for (const [record, backends, figure] of cases) {
    const summary = summarizeRun(record, backends);
    t.equal(summary[figure], 1, figure);
    t.notOk(hasNoViolations(summary), figure);
  }
});
