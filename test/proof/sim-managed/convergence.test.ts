/**
 * @file Convergence of 30 balancers and 3 control machines in 3 zones after a change and after failures: what was
 * accepted is in force everywhere in time, what was refused is in force nowhere.
 */
import t from 'tap';
import type { CommandOutcome } from '../../../src/managed/control/commands.js';
import type { SimulatedControl } from '../../../src/proof/sim-managed/simulated-control.js';
import type { SimulatedProcess } from '../../../src/proof/sim-managed/simulated-process.js';
import type { TraceEvent } from '../../../src/proof/sim-managed/trace.js';
import { smallWorld, type WorldPlan } from '../../../src/proof/sim-managed/world-plan.js';
import { World } from '../../../src/proof/sim-managed/world.js';

const SEED = 6;
const BALANCERS = 30;
const CONVERGENCE_MS = 8_000;
/** Till a link to a silent machine is given up, and another one stands. */
const CUT_OFF_CONVERGENCE_MS = 3_500;
/** With no fault a change takes a few messages. */
const UNDISTURBED_MS = 100;
/** How closely the times of conditions are looked at. */
const SLICE_MS = 10;

const PLAN: WorldPlan = {
  ...smallWorld,
  balancers: BALANCERS,
  balancerZones: 3,
  services: ['authd', 'board-api', 'settled', 'scan-intake'].map((name) => ({
    name,
    owner: 'operator-1',
    backends: 10,
    callers: 0,
    feeds: 0,
  })),
};

/** A world with commands that go straight to the leader, and what came of them. */
interface ConvergenceWorld {
  readonly world: World;
  readonly events: TraceEvent[];
  /** The machine that leads in the highest term. */
  leader(): SimulatedControl | undefined;
  /** Sends the command that adds a back end to the leader; returns the host of the back end. */
  sendBackend(number: number, onOutcome?: (outcome: CommandOutcome) => void): string;
  /** As `sendBackend`, and runs until it is accepted. */
  addBackend(number: number): Promise<string>;
  /** The highest index that a command was accepted with. */
  acceptedIndex(): number;
  /** True where each balancer that is up has all that was accepted in force. */
  isConverged(): boolean;
  /** @returns false where the condition didn't come to hold in time */
  runUntilTrue(condition: () => boolean, withinMs: number): Promise<boolean>;
  /** For each balancer, whether it knows a back end of this host. */
  knowsBackend(host: string): boolean[];
}

async function startWorld(): Promise<ConvergenceWorld> {
  const events: TraceEvent[] = [];
  const listener = { handle: (event: TraceEvent) => void events.push(event) };
  const world = new World({ seed: SEED, plan: PLAN, listener });
  await world.setUp();
  let acceptedIndex = world.appliedIndex();

  function leader(): SimulatedControl | undefined {
    return world.controls
      .filter(({ isLeader }) => isLeader)
      .sort((one, other) => termOf(other) - termOf(one))[0];
  }

  function sendBackend(
    number: number,
    onOutcome: (outcome: CommandOutcome) => void = () => undefined,
  ): string {
    const host = `10.8.0.${number}`;
    const address = { host, port: 9_000 };
    const command = {
      type: 'add-backend',
      service: 'authd',
      address,
      healthAddress: address,
      zone: 'zone-a',
    } as const;
    const entry = { commandId: `add-${number}`, operator: 'operator-1', command };
    leader()?.propose(entry, (outcome) => {
      acceptedIndex = Math.max(acceptedIndex, outcome.accepted ? outcome.index : 0);
      onOutcome(outcome);
    });
    return host;
  }

  async function addBackend(number: number): Promise<string> {
    const before = acceptedIndex;
    const host = sendBackend(number);
    await runUntilTrue(() => acceptedIndex > before, CONVERGENCE_MS);
    return host;
  }

  function isConverged(): boolean {
    return world.balancers.every(
      ({ status, state }) => status === 'down' || state.position.index >= acceptedIndex,
    );
  }

  async function runUntilTrue(condition: () => boolean, withinMs: number): Promise<boolean> {
    const endMs = world.simulation.nowMs + withinMs;
    while (!condition() && world.simulation.nowMs < endMs) {
      await world.run(SLICE_MS);
    }
    return condition();
  }

  function knowsBackend(host: string): boolean[] {
    return world.balancers.map(({ state }) =>
      [...state.config.backends.values()].some(({ address }) => address.host === host),
    );
  }

  return {
    world,
    events,
    leader,
    sendBackend,
    addBackend,
    acceptedIndex: () => acceptedIndex,
    isConverged,
    runUntilTrue,
    knowsBackend,
  };
}

function termOf({ state }: SimulatedControl): number {
  return state?.consensus.term ?? 0;
}

/**
 * Takes the network away from processes, each by itself and without a word.
 * @returns gives it back
 */
function cutEach(world: World, processes: readonly SimulatedProcess[]): () => void {
  const { network } = world.simulation;
  const hosts = [...world.controls, ...world.balancers, ...world.operators.values()].map(
    ({ host }) => host,
  );
  const cuts = processes.flatMap(({ host }) => {
    const own = new Set([host]);
    const others = new Set(hosts.filter((other) => other !== host));
    return [network.cut({ from: own, to: others }), network.cut({ from: others, to: own })];
  });
  return () => cuts.forEach((cutId) => network.heal(cutId));
}

/** From acceptance until each balancer has it in force, in milliseconds. */
function inForceTimesMs(events: readonly TraceEvent[], index: number): number[] {
  const appliedAtMs = events
    .filter((event) => event.type === 'applied' && event.index >= index)
    .map(({ atMs }) => atMs);
  const acceptedAtMs = Math.min(...appliedAtMs);
  const firstAtMs = new Map<string, number>();
  for (const event of events) {
    if (event.type === 'in-force' && event.index >= index && !firstAtMs.has(event.balancer)) {
      firstAtMs.set(event.balancer, event.atMs);
    }
  }
  return [...firstAtMs.values()].map((atMs) => atMs - acceptedAtMs);
}

t.test('An accepted change is in force on every balancer', async (t) => {
  const { world, events, ...scene } = await startWorld();
  const host = await scene.addBackend(1);
  t.ok(await scene.runUntilTrue(scene.isConverged, CONVERGENCE_MS));
  t.equal(world.balancers.length, BALANCERS);
  t.ok(scene.knowsBackend(host).every(Boolean));
  const timesMs = inForceTimesMs(events, scene.acceptedIndex());
  t.equal(timesMs.length, BALANCERS, 'the time of each balancer is measured');
  t.ok(Math.max(...timesMs) < UNDISTURBED_MS, 'with no fault it takes a few messages');
});

t.test('A balancer that restarts gets the configuration again', async (t) => {
  const { world, ...scene } = await startWorld();
  const balancer = world.balancers[7];
  balancer?.crash();
  world.after(500, () => balancer?.start());
  await world.run(400);
  const host = await scene.addBackend(1);
  await world.run(200);
  t.equal(balancer?.status, 'running');
  t.ok(await scene.runUntilTrue(scene.isConverged, CONVERGENCE_MS));
  t.ok(scene.knowsBackend(host).every(Boolean));
});

t.test('Nothing accepted is lost when all control machines restart at once', async (t) => {
  const { world, ...scene } = await startWorld();
  const before = await scene.addBackend(1);
  world.controls.forEach((control) => control.crash());
  await world.run(1_000);
  world.controls.forEach((control) => control.start());
  t.ok(await scene.runUntilTrue(() => scene.leader() !== undefined, CONVERGENCE_MS));
  const after = await scene.addBackend(2);
  t.ok(await scene.runUntilTrue(scene.isConverged, CONVERGENCE_MS));
  t.ok(scene.knowsBackend(before).every(Boolean));
  t.ok(scene.knowsBackend(after).every(Boolean));
});

t.test(
  'With a zone lost, changes go on in the others; the zone follows once it is back',
  async (t) => {
    const { world, ...scene } = await startWorld();
    const zone = scene.leader()?.zone;
    const machines = [...world.controls, ...world.balancers];
    const restore = cutEach(
      world,
      machines.filter((machine) => machine.zone === zone),
    );
    const leadsElsewhere = (): boolean => scene.leader()?.zone !== zone;
    t.ok(
      await scene.runUntilTrue(leadsElsewhere, CONVERGENCE_MS),
      'a machine of another zone leads',
    );
    const host = await scene.addBackend(1);
    const elsewhere = world.balancers.filter((balancer) => balancer.zone !== zone);
    t.equal(elsewhere.length, 20);
    const haveAll = (): boolean =>
      elsewhere.every(({ state }) => state.position.index >= scene.acceptedIndex());
    t.ok(
      await scene.runUntilTrue(haveAll, CONVERGENCE_MS),
      'balancers of a lost machine find another',
    );
    t.notOk(scene.isConverged(), 'the lost zone lacks the change');
    restore();
    t.ok(await scene.runUntilTrue(scene.isConverged, CONVERGENCE_MS));
    t.ok(scene.knowsBackend(host).every(Boolean));
  },
);

t.test('A leader that is cut off accepts nothing, and follows once it is back', async (t) => {
  const { world, ...scene } = await startWorld();
  const former = scene.leader();
  const restore = cutEach(world, former === undefined ? [] : [former]);
  const outcomes: CommandOutcome[] = [];
  const refused = scene.sendBackend(1, (outcome) => outcomes.push(outcome));
  const leadsElsewhere = (): boolean =>
    scene.leader() !== undefined && scene.leader()?.zone !== former?.zone;
  t.ok(await scene.runUntilTrue(leadsElsewhere, CONVERGENCE_MS));
  const accepted = await scene.addBackend(2);
  t.ok(
    await scene.runUntilTrue(scene.isConverged, CUT_OFF_CONVERGENCE_MS),
    'its balancers find another machine',
  );
  t.same(
    outcomes.map((outcome) => outcome.accepted),
    [false],
  );
  restore();
  await world.run(2_000);
  t.equal(former?.state?.cluster.index, scene.leader()?.state?.cluster.index);
  t.ok(scene.knowsBackend(accepted).every(Boolean));
  t.notOk(scene.knowsBackend(refused).some(Boolean), 'what it refused is nowhere in force');
});
