/** @file Guards against a slow election after all control machines were killed and restarted. */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;
const SEEDS = 10;
const STEP_MS = 10;

/** @returns the time from the restart of all processes until a leader has committed an entry of its term */
async function measureElectionMs(world: IngressWorld): Promise<number> {
  world.controls.forEach((control) => control.kill());
  await world.run(1_000);
  world.controls.forEach((control) => control.start(false));
  const startedAtMs = world.clock.nowMs;
  const hasLeader = () =>
    world.controls.some(({ process }) => {
      const consensus = process?.state.consensus;
      const role = consensus?.role;
      return role?.name === 'leader' && (consensus?.commitIndex ?? 0) >= role.termStartIndex;
    });
  while (!hasLeader() && world.clock.nowMs - startedAtMs < 10_000) {
    await world.run(STEP_MS);
  }
  return world.clock.nowMs - startedAtMs;
}

t.test('a group that restarts as a whole elects a leader within 600 ms', async (t) => {
  const electionTimesMs: number[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const world = new IngressWorld(seed, smallIngressWorld);
    world.start();
    await world.run(FORMATION_MS);
    electionTimesMs.push(await measureElectionMs(world));
  }
  electionTimesMs.sort((a, b) => a - b);
  t.ok((electionTimesMs.at(-1) ?? Infinity) <= 600, `times: ${electionTimesMs.join(' ')}`);
});
