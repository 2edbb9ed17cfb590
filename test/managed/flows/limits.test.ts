/** @file Slots, queue limits, deadlines and cancellation at back ends, and the resulting outcomes at callers. */
import t from 'tap';
import { countViolations, World } from './world.js';

const NO_VIOLATIONS = { ranTwice: 0, falseNotRun: 0, wrongAnswers: 0 };

t.test('a full back end rejects requests as not run and keeps its queue bounded', async (t) => {
  const backend = { slots: 2, queueLimit: 5, meanServiceTimeMs: 100 };
  const world = new World({ seed: 1, backends: [backend] });
  for (let number = 0; number < 40; number += 1) {
    world.addCaller({ requestCount: 3, requestDeadlineMs: 1_500, pauseMs: 10 });
  }
  let maxQueueLength = 0;
  let maxRunning = 0;
  world.network.every(5, () => {
    maxQueueLength = Math.max(maxQueueLength, world.backends[0]?.queue.length ?? 0);
    maxRunning = Math.max(maxRunning, world.backends[0]?.running.size ?? 0);
  });
  world.finish(30_000);
  t.equal(maxQueueLength, 5);
  t.equal(maxRunning, 2);
  const outcomes = world.callers.flatMap((caller) => caller.outcomes);
  t.ok(outcomes.some(({ type }) => type === 'answered'));
  t.ok(outcomes.some(({ type }) => type === 'not-run'));
  const unknown = outcomes.filter(({ type }) => type === 'unknown');
  const runs = new Set(world.backends[0]?.executedRequests);
  t.ok(
    unknown.every(({ requestNumber }) => runs.has(requestNumber)),
    'only requests that ran have an unknown outcome',
  );
  t.strictSame(countViolations(world), NO_VIOLATIONS);
});

t.test('a request whose deadline expires in the queue never runs', async (t) => {
  const world = new World({ seed: 2, backends: [{ slots: 1, meanServiceTimeMs: 3_000 }] });
  const first = world.addCaller({ requestCount: 1, requestDeadlineMs: 60_000 });
  world.run(50);
  const second = world.addCaller({ requestCount: 1, requestDeadlineMs: 400 });
  world.run(600);
  t.match(second.outcomes, [{ type: 'not-run', kind: 'deadline-exceeded' }]);
  world.finish(60_000);
  t.match(first.outcomes, [{ type: 'answered' }]);
  t.equal(world.backends[0]?.executedRequests.length, 1);
});

t.test('the back end applies the deadline of the caller', async (t) => {
  const world = new World({ seed: 3, backends: [{ meanServiceTimeMs: 10_000 }] });
  const caller = world.addCaller({ requestCount: 1, requestDeadlineMs: 2_000 });
  world.run(1_000);
  const [record] = world.backends[0]?.running ?? [];
  const deadlineAtMs = caller.state.request?.deadlineAtMs ?? 0;
  t.ok(
    Math.abs((record?.deadlineAtMs ?? 0) - deadlineAtMs) <= 5,
    'equal except for the network delay',
  );
});

t.test('a cancelled request does not run if queued and is answered if running', async (t) => {
  const world = new World({ seed: 4, backends: [{ slots: 1, meanServiceTimeMs: 800 }] });
  const running = world.addCaller({ requestCount: 1, cancelAfterMs: 100 });
  world.run(50);
  const waiting = world.addCaller({ requestCount: 1, cancelAfterMs: 100 });
  world.finish(20_000);
  t.match(running.outcomes, [{ type: 'answered' }]);
  t.match(waiting.outcomes, [{ type: 'not-run', kind: 'cancelled' }]);
  t.strictSame(world.backends[0]?.executedRequests, [running.outcomes[0]?.requestNumber]);
});
