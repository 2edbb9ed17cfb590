/** @file The table of error kinds. */
import t from 'tap';
import { answerFor, errorKinds } from '../../../src/shared/common/error-kinds.js';

t.test('every kind has an answer, and "not run" is said only with a refusal', async (t) => {
  for (const kind of errorKinds) {
    const answer = answerFor(kind);
    t.ok(answer.httpStatus >= 400, kind);
    t.not(answer.exitCode, 0, kind);
    t.notOk(answer.callerAnswer === 'close' && answer.surelyNotRun, kind);
  }
  t.notOk(answerFor('outcome-unknown').surelyNotRun);
});
