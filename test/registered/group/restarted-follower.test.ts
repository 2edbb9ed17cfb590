/**
 * @file What a control machine is told of a call that it forwarded before it started again belongs to that call alone.
 *
 * A follower forwards a departure to the leader. The leader can't commit it at once, since three of the five machines stand
 * still. Meanwhile the follower is killed and starts again; its calls were numbered from 1 anew, and an operator sends it a
 * configuration, again and again. Then the departure is committed, and the leader replies to the number of its call.
 * Where that number is one of the configuration's calls, the operator is told `accepted`. Then the leader and the follower
 * are lost, as many as the deployment must survive, and the configuration is gone. The lines of the follower that showed
 * it, in this order (seed 1, a start between the first two):
 *
 *     call forwarded forward=4 call=note-departure
 *     call forwarded forward=4 call=declare-config
 *     leader replied forward=4 reply=committed awaited=true
 */
import t from 'tap';
import { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import type { SimulatedControlMachine } from '../../../src/proof/sim-registered/simulated-control-machine.js';
import { smallIngressWorld } from '../../../src/proof/sim-registered/world-parts.js';

const SEEDS = 8;
const FORMATION_MS = 6_000;
/** The follower has started, and heard of its leader. */
const START_MS = 200;
const STEP_MS = 10;
/** The others stand still for less than an election time-out, and longer than a start. */
const STILL_MS = 350;
/** As often as it may take to come to the number of the call before. */
const DECLARED_TIMES = 40;
const NEWER_VERSION = 1_000;
const RECOVERY_MS = 8_000;

function roleOf(control: SimulatedControlMachine): string | undefined {
  return control.process?.state.consensus.role.name;
}

function heldVersion({ process }: SimulatedControlMachine): number {
  return process?.state.replicated.config?.version ?? 0;
}

/** Starts a machine again, with its disk; its links are reset, as when a process is killed. */
async function startAgain(world: IngressWorld, control: SimulatedControlMachine): Promise<void> {
  world.wires.resetLinksOf(control.address.host);
  control.kill();
  control.start(false);
  await world.run(START_MS);
}

for (let seed = 1; seed <= SEEDS; seed += 1) {
  t.test(`a follower starts again while its call is under way, seed ${seed}`, async (t) => {
    const world = new IngressWorld(seed, smallIngressWorld);
    world.start();
    await world.run(FORMATION_MS);
    const leader = world.controls.find((control) => roleOf(control) === 'leader');
    const follower = world.controls.find((control) => roleOf(control) === 'follower');
    if (leader === undefined || follower === undefined) {
      throw new Error('The group has not formed.');
    }
    const others = world.controls.filter((one) => one !== leader && one !== follower);
    await startAgain(world, follower);

    others.forEach((control) => control.freeze(STILL_MS));
    follower.call({ type: 'deregister', backendId: 'backend-1' }, () => undefined);
    await world.run(STEP_MS);
    others.forEach(({ address }) => world.wires.cutOneWay(leader.address.host, address.host, true));
    await startAgain(world, follower);

    const document = { version: NEWER_VERSION, text: JSON.stringify({ version: NEWER_VERSION }) };
    const replies: string[] = [];
    for (let sent = 0; sent < DECLARED_TIMES; sent += 1) {
      follower.call({ type: 'declare-config', document }, ({ type }) => replies.push(type));
    }
    let isTold = false;
    for (let waitedMs = 0; waitedMs < STILL_MS && !isTold; waitedMs += STEP_MS) {
      await world.run(STEP_MS);
      isTold = replies.includes('accepted');
    }
    const departures = world.controls.filter(
      ({ process }) => process?.state.replicated.departureOf('backend-1') === 'gone',
    );
    t.ok(departures.length > 0, 'the call of the start before was committed');

    leader.wipe();
    follower.wipe();
    world.wires.heal();
    await world.run(RECOVERY_MS);
    const held = Math.max(...others.map(heldVersion));
    t.notOk(isTold && held < NEWER_VERSION, `told ${replies.join(' ')}, version ${held} is held`);
  });
}
