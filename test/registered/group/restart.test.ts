/** @file All control machines are killed at once and come back: how soon the group decides again. */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const FORMATION_MS = 6_000;
const SEEDS = 10;
const STEP_MS = 10;

/** @returns how long after the start of all processes some machine leads with a committed entry */
async function timeToLeader(world: IngressWorld): Promise<number> {
  world.controls.forEach((control) => control.kill());
  await world.run(1_000);
  world.controls.forEach((control) => control.start(false));
  const startedAtMs = world.clock.nowMs;
  const leads = () =>
    world.controls.some(({ process }) => {
      const consensus = process?.state.consensus;
      const role = consensus?.role;
      return role?.name === 'leader' && (consensus?.commitIndex ?? 0) >= role.termStartIndex;
    });
  while (!leads() && world.clock.nowMs - startedAtMs < 10_000) {
    await world.run(STEP_MS);
  }
  return world.clock.nowMs - startedAtMs;
}

t.test('a group that restarts as a whole decides again within 600 ms', async (t) => {
  const times: number[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const world = new IngressWorld(seed, smallIngressWorld);
    world.start();
    await world.run(FORMATION_MS);
    times.push(await timeToLeader(world));
  }
  times.sort((a, b) => a - b);
  t.ok((times.at(-1) ?? Infinity) <= 600, `times: ${times.join(' ')}`);
});
