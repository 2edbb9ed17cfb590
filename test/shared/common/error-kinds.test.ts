/** @file Guards against contradictory entries in the table of error kinds. */
import t from 'tap';
import { answerFor, errorKinds } from '../../../src/shared/common/error-kinds.js';

t.test(
  'every kind has an HTTP status and an exit code, and no close claims that the request did not run',
  async (t) => {
    for (const kind of errorKinds) {
      const answer = answerFor(kind);
      t.ok(answer.httpStatus >= 400, kind);
      t.not(answer.exitCode, 0, kind);
      t.notOk(answer.callerAnswer === 'close' && answer.surelyNotRun, kind);
    }
    t.notOk(answerFor('outcome-unknown').surelyNotRun);
  },
);
