/**
 * @file A restarted control machine must not match the reply to a call forwarded before the restart to a later call, or
 * it reports an uncommitted configuration as accepted.
 */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import type { SimulatedControlMachine } from '../../../src/proof/sim-registered/simulated-control-machine.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const SEED_COUNT = 8;
const FORMATION_MS = 6_000;
/** Time for the follower to start and to find its leader. */
const RESTART_MS = 200;
const STEP_MS = 10;
/** Shorter than an election timeout, longer than a restart. */
const FREEZE_MS = 350;
/** Enough calls to reach the number of the call before the restart, if numbers began anew. */
const DECLARE_COUNT = 40;
const NEWER_VERSION = 1_000;
const RECOVERY_MS = 8_000;

function roleOf(control: SimulatedControlMachine): string | undefined {
  return control.process?.state.consensus.role.name;
}

function configVersion({ process }: SimulatedControlMachine): number {
  return process?.state.replicated.config?.version ?? 0;
}

/** Kills and starts a machine; it keeps its disk, and its links are reset. */
async function restart(world: IngressWorld, control: SimulatedControlMachine): Promise<void> {
  world.wires.resetLinksOf(control.address.host);
  control.kill();
  control.start(false);
  await world.run(RESTART_MS);
}

for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
  t.test(`a follower restarts while a forwarded call is pending, seed ${seed}`, async (t) => {
    const world = new IngressWorld(seed, smallIngressWorld);
    world.start();
    await world.run(FORMATION_MS);
    const leader = world.controls.find((control) => roleOf(control) === 'leader');
    const follower = world.controls.find((control) => roleOf(control) === 'follower');
    if (leader === undefined || follower === undefined) {
      throw new Error('The group has not formed.');
    }
    const others = world.controls.filter((one) => one !== leader && one !== follower);
    await restart(world, follower);

    others.forEach((control) => control.freeze(FREEZE_MS));
    follower.call({ type: 'deregister', backendId: 'backend-1' }, () => undefined);
    await world.run(STEP_MS);
    others.forEach(({ address }) => world.wires.cutOneWay(leader.address.host, address.host, true));
    await restart(world, follower);

    const document = { version: NEWER_VERSION, text: JSON.stringify({ version: NEWER_VERSION }) };
    const replies: string[] = [];
    for (let sent = 0; sent < DECLARE_COUNT; sent += 1) {
      follower.call({ type: 'declare-config', document }, ({ type }) => replies.push(type));
    }
    let isAccepted = false;
    for (let waitedMs = 0; waitedMs < FREEZE_MS && !isAccepted; waitedMs += STEP_MS) {
      await world.run(STEP_MS);
      isAccepted = replies.includes('accepted');
    }
    const departures = world.controls.filter(
      ({ process }) => process?.state.replicated.departureOf('backend-1') === 'gone',
    );
    t.ok(departures.length > 0, 'the call from before the restart was committed');

    leader.wipe();
    follower.wipe();
    world.wires.heal();
    await world.run(RECOVERY_MS);
    const newestVersion = Math.max(...others.map(configVersion));
    t.notOk(
      isAccepted && newestVersion < NEWER_VERSION,
      `replies ${replies.join(' ')}, newest version ${newestVersion}`,
    );
  });
}
