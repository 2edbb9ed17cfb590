/** @file Restarts of back ends at the same address: a request that may have run must not be reported as "not run". */
import t from 'tap';
import { badNetwork, goodNetwork } from './network.js';
import { countViolations, World } from './world.js';

const NO_VIOLATIONS = { ranTwice: 0, falseNotRun: 0, wrongAnswers: 0 };

t.test(
  'a request that was running in a crash has an unknown outcome; the next one is answered',
  async (t) => {
    const world = new World({ seed: 1, backends: [{ meanServiceTimeMs: 400 }] });
    const caller = world.addCaller({ requestCount: 3, requestDeadlineMs: 20_000 });
    world.run(50);
    t.equal(world.backends[0]?.running.size, 1);
    world.crashBackend(0, 1_000);
    world.finish(30_000);
    t.strictSame(
      caller.outcomes.map(({ type }) => type),
      ['unknown', 'answered', 'answered'],
    );
    t.match(caller.outcomes[0], { kind: 'stale-incarnation' });
    t.equal(caller.state.brokenFlows, 1, 'the flow broke with its back end');
    t.strictSame(countViolations(world), NO_VIOLATIONS);
  },
);

t.test('a token of an old incarnation is rejected after a restart', async (t) => {
  const world = new World({ seed: 2, backends: [{}] });
  const oldCaller = world.addCaller({ requestCount: 2, pauseMs: 3_000 });
  world.run(500);
  world.crashBackend(0, 100);
  world.run(1_500);
  const newCaller = world.addCaller({ requestCount: 1 });
  world.run(500);
  t.match(
    newCaller.outcomes,
    [{ type: 'answered' }],
    'balancers use the new incarnation for opens',
  );
  world.finish(20_000);
  t.match(oldCaller.outcomes, [
    { type: 'answered' },
    { type: 'unknown', kind: 'stale-incarnation' },
  ]);
  t.equal(world.backends[0]?.executedRequests.length, 2, 'no request ran with the old token');
});

t.test('restarts cause no duplicate runs and no false "not run" outcomes', async (t) => {
  let unknown = 0;
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const faults = seed % 2 === 0 ? badNetwork : goodNetwork;
    const backend = { meanServiceTimeMs: 40, queueLimit: 2, slots: 1 };
    const world = new World({ seed, faults, backends: [backend, backend, backend] });
    for (let number = 0; number < 8; number += 1) {
      world.addCaller({ requestCount: 15, requestDeadlineMs: 6_000 });
    }
    for (const position of [0, 1, 0, 2, 1]) {
      world.run(700);
      world.crashBackend(position, world.network.context.random.nextInt(1_000));
    }
    world.finish(120_000);
    t.strictSame(countViolations(world), NO_VIOLATIONS, `seed ${seed}`);
    const outcomes = world.callers.flatMap((caller) => caller.outcomes);
    t.equal(outcomes.length, 8 * 15, `seed ${seed}: every request has an outcome`);
    unknown += outcomes.filter(({ type }) => type === 'unknown').length;
  }
  t.ok(unknown > 0, 'some requests were interrupted by a restart');
});
