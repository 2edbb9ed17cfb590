/** @file Convergence of a small hollow world after a change and after failures. */
import t from 'tap';
import type { CommandOutcome } from '../../../src/managed/control/commands.js';
import { addBackendCommand } from '../../../src/proof/experiment/hollow/first-state.js';
import { HollowWorld } from '../../../src/proof/experiment/hollow/hollow-world.js';

const CONFIG = { services: 4, backends: 40 };
const CONVERGENCE_MS = 8_000;
/** Till a link to a silent machine is given up, and another one stands. */
const CUT_OFF_CONVERGENCE_MS = 3_500;

function startWorld(): HollowWorld {
  const world = new HollowWorld({
    seed: 6,
    balancers: 30,
    controls: 3,
    regions: 1,
    zones: 3,
    config: CONFIG,
  });
  world.start();
  return world;
}

/** Adds one back end; the number must be new. */
function change(world: HollowWorld, number: number): void {
  const before = world.acceptedIndex;
  world.send(addBackendCommand(number, CONFIG, world.places));
  world.queue.runUntilTrue(() => world.acceptedIndex > before, CONVERGENCE_MS);
}

/** Runs until a machine outside of this zone leads in a term of its own. */
function untilOtherLeader(world: HollowWorld, zone: string): boolean {
  const leads = () => world.leader()?.place.zone !== zone && world.leader() !== undefined;
  return world.queue.runUntilTrue(leads, CONVERGENCE_MS);
}

function hasBackend(world: HollowWorld, number: number): boolean[] {
  const { address } = addBackendCommand(number, CONFIG, world.places);
  return world.balancers.map(({ state }) =>
    [...state.config.backends.values()].some((backend) => backend.address.host === address.host),
  );
}

t.test('An accepted change is in force on every balancer', async (t) => {
  const world = startWorld();
  change(world, 40);
  t.ok(world.runUntilConverged(CONVERGENCE_MS));
  t.ok(hasBackend(world, 40).every(Boolean));
  t.equal(world.tracker.summary().count, 30, 'the time of each balancer is measured');
  t.ok(world.tracker.summary().maxMs < 100, 'with no fault it takes a few messages');
});

t.test('A balancer that restarts gets the configuration again', async (t) => {
  const world = startWorld();
  world.restartBalancer(7, 500);
  world.queue.runUntil(world.queue.nowMs + 400);
  change(world, 40);
  world.queue.runUntil(world.queue.nowMs + 200);
  t.ok(world.runUntilConverged(CONVERGENCE_MS));
  t.ok(hasBackend(world, 40).every(Boolean));
});

t.test('Nothing accepted is lost when all control machines restart at once', async (t) => {
  const world = startWorld();
  change(world, 40);
  world.controls.forEach((control) => control.kill());
  world.queue.runUntil(world.queue.nowMs + 1_000);
  world.controls.forEach((control) => control.start());
  t.ok(world.queue.runUntilTrue(() => world.leader() !== undefined, CONVERGENCE_MS));
  change(world, 41);
  t.ok(world.runUntilConverged(CONVERGENCE_MS));
  t.ok(hasBackend(world, 40).every(Boolean));
  t.ok(hasBackend(world, 41).every(Boolean));
});

t.test(
  'With a zone lost, changes go on in the others; the zone follows once it is back',
  async (t) => {
    const world = startWorld();
    const zone = world.leader()?.place.zone ?? '';
    world.network.setZoneLost(zone, true);
    t.ok(untilOtherLeader(world, zone), 'a machine of another zone leads');
    change(world, 40);
    const elsewhere = world.balancers.filter(({ place }) => place.zone !== zone);
    const haveAll = () =>
      elsewhere.every(({ state }) => state.position.index >= world.acceptedIndex);
    t.ok(
      world.queue.runUntilTrue(haveAll, CONVERGENCE_MS),
      'balancers of a lost machine find another',
    );
    t.notOk(world.isConverged(), 'the lost zone lacks the change');
    world.network.setZoneLost(zone, false);
    t.ok(world.runUntilConverged(CONVERGENCE_MS));
    t.ok(hasBackend(world, 40).every(Boolean));
  },
);

t.test('A leader that is cut off accepts nothing, and follows once it is back', async (t) => {
  const world = startWorld();
  const former = world.leader();
  world.network.setNodeCut(former?.nodeId ?? '', true);
  const outcomes: CommandOutcome[] = [];
  world.send(addBackendCommand(50, CONFIG, world.places), (outcome) => outcomes.push(outcome));
  t.ok(untilOtherLeader(world, former?.place.zone ?? ''));
  change(world, 40);
  t.ok(world.runUntilConverged(CUT_OFF_CONVERGENCE_MS), 'its balancers find another machine');
  t.same(
    outcomes.map((outcome) => outcome.accepted),
    [false],
  );
  world.network.setNodeCut(former?.nodeId ?? '', false);
  world.queue.runUntil(world.queue.nowMs + 2_000);
  t.equal(former?.state.cluster.index, world.leader()?.state.cluster.index);
  t.ok(hasBackend(world, 40).every(Boolean));
  t.notOk(hasBackend(world, 50).some(Boolean), 'what it refused is nowhere in force');
});

t.test('The same seed gives the same run', async (t) => {
  const traffic = [startWorld(), startWorld()].map((world) => {
    change(world, 40);
    world.runUntilConverged(CONVERGENCE_MS);
    return [...world.meter.of('balancer').received];
  });
  t.same(traffic[0], traffic[1]);
});
