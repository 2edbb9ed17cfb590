/** @file Schedules depend on the seed alone and never disturb more control machines at once than tolerated. */
import fc from 'fast-check';
import t from 'tap';
import {
  drawSchedule,
  affectsOneControl,
  soakFaultKinds,
  type ScheduleOptions,
  type SoakFault,
} from '../../../src/proof/soak/soak-schedule.js';

const OPTIONS: ScheduleOptions = {
  seed: 1,
  durationMs: 120_000,
  controlCount: 5,
  balancerCount: 4,
  tolerableLosses: 2,
  catchUpMs: 4_000,
  hasRestarts: true,
};

/** @returns the control machines disturbed at a time, including those of faults that begin then */
function disturbedAt(faults: readonly SoakFault[], atMs: number): Set<number> {
  const { catchUpMs } = OPTIONS;
  return new Set(
    faults
      .filter(({ kind }) => affectsOneControl(kind))
      .filter((fault) => fault.atMs <= atMs && atMs < fault.atMs + fault.forMs + catchUpMs)
      .map(({ target }) => target),
  );
}

t.test('the same seed gives the same schedule, another seed a different one', async (t) => {
  t.same(drawSchedule(OPTIONS), drawSchedule(OPTIONS));
  t.not(
    JSON.stringify(drawSchedule(OPTIONS)),
    JSON.stringify(drawSchedule({ ...OPTIONS, seed: 2 })),
  );
});

t.test('restarts of back ends leave the other faults of a seed unchanged', async (t) => {
  const without = drawSchedule({ ...OPTIONS, hasRestarts: false });
  const others = drawSchedule(OPTIONS).filter(({ kind }) => kind !== 'backend-restarted');
  t.same(others, without);
});

t.test('no schedule disturbs more control machines at once than tolerated', async (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => {
      const faults = drawSchedule({ ...OPTIONS, seed });
      return faults.every(({ atMs }) => disturbedAt(faults, atMs).size <= OPTIONS.tolerableLosses);
    }),
    { seed: 1, numRuns: 200 },
  );
  t.pass();
});

t.test('all control machines are killed only while none is disturbed', async (t) => {
  let killed = 0;
  for (let seed = 1; seed <= 100; seed += 1) {
    const faults = drawSchedule({ ...OPTIONS, seed });
    for (const { atMs } of faults.filter(({ kind }) => kind === 'all-controls-killed')) {
      killed += 1;
      t.equal(disturbedAt(faults, atMs).size, 0);
    }
  }
  t.ok(killed > 0);
});

t.test('schedules contain every kind, ordered by time and within the duration', async (t) => {
  const kinds = new Set<string>();
  for (let seed = 1; seed <= 30; seed += 1) {
    const faults = drawSchedule({ ...OPTIONS, seed });
    faults.forEach(({ kind }) => kinds.add(kind));
    const times = faults.map(({ atMs }) => atMs);
    t.same(
      times,
      [...times].sort((one, other) => one - other),
    );
    t.ok(times.every((atMs) => atMs < OPTIONS.durationMs));
  }
  t.same([...kinds].sort(), [...soakFaultKinds].sort());
});
