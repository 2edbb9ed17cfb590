/** @file Back ends that restart at the same address: what ran is unknown, and never "not run". */
import t from 'tap';
import { badNetwork, goodNetwork } from './network.js';
import { harmOf, World } from './world.js';

const NO_HARM = { ranTwice: 0, falseNotRun: 0, wrong: 0 };

t.test(
  'a request that ran when its back end died is unknown; the next one is answered',
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
    t.equal(caller.state.brokenFlows, 1, 'the flow did not outlive its back end');
    t.strictSame(harmOf(world), NO_HARM);
  },
);

t.test('an old token is told apart from one of the new incarnation', async (t) => {
  const world = new World({ seed: 2, backends: [{}] });
  const before = world.addCaller({ requestCount: 2, pauseMs: 3_000 });
  world.run(500);
  world.crashBackend(0, 100);
  world.run(1_500);
  const after = world.addCaller({ requestCount: 1 });
  world.run(500);
  t.match(after.outcomes, [{ type: 'answered' }], 'balancers open under the new incarnation');
  world.finish(20_000);
  t.match(before.outcomes, [{ type: 'answered' }, { type: 'unknown', kind: 'stale-incarnation' }]);
  t.equal(world.backends[0]?.runs.length, 2, 'nothing ran under the old token');
});

t.test('no restart makes a request run twice or a "not run" false', async (t) => {
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
    t.strictSame(harmOf(world), NO_HARM, `seed ${seed}`);
    const outcomes = world.callers.flatMap((caller) => caller.outcomes);
    t.equal(outcomes.length, 8 * 15, `seed ${seed}: every request has an outcome`);
    unknown += outcomes.filter(({ type }) => type === 'unknown').length;
  }
  t.ok(unknown > 0, 'some requests were cut by a restart');
});
