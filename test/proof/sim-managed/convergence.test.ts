/**
 * @file Guards against accepted changes that are lost or late on some balancer after failures, and against rejected
 * changes that take effect.
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
const MAX_CONVERGENCE_MS = 8_000;
/** Covers the timeout of a link to an unresponsive machine and the set-up of a new link. */
const MAX_FAILOVER_CONVERGENCE_MS = 3_500;
const MAX_FAULT_FREE_CONVERGENCE_MS = 100;
const POLL_INTERVAL_MS = 10;

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

/** A world with helpers that send commands directly to the leader and track the accepted ones. */
interface ConvergenceWorld {
  readonly world: World;
  readonly events: TraceEvent[];
  /** The leader of the highest term. */
  leader(): SimulatedControl | undefined;
  /** Proposes a new back end to the leader; returns the host of the back end. */
  proposeBackend(hostNumber: number, onOutcome?: (outcome: CommandOutcome) => void): string;
  /** Like `proposeBackend`, and runs until the command is accepted. */
  addBackend(hostNumber: number): Promise<string>;
  /** Highest index of an accepted command. */
  acceptedIndex(): number;
  /** True if every balancer that is not down has the highest accepted index in force. */
  isConverged(): boolean;
  /** @returns false if the condition doesn't hold within the time */
  runUntilTrue(condition: () => boolean, withinMs: number): Promise<boolean>;
  /** For each balancer, whether its configuration contains a back end on this host. */
  balancersHaveBackend(host: string): boolean[];
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

  function proposeBackend(
    hostNumber: number,
    onOutcome: (outcome: CommandOutcome) => void = () => undefined,
  ): string {
    const host = `10.8.0.${hostNumber}`;
    const address = { host, port: 9_000 };
    const command = {
      type: 'add-backend',
      service: 'authd',
      address,
      healthAddress: address,
      zone: 'zone-a',
    } as const;
    const entry = { commandId: `add-${hostNumber}`, operator: 'operator-1', command };
    leader()?.propose(entry, (outcome) => {
      acceptedIndex = Math.max(acceptedIndex, outcome.accepted ? outcome.index : 0);
      onOutcome(outcome);
    });
    return host;
  }

  async function addBackend(hostNumber: number): Promise<string> {
    const previousIndex = acceptedIndex;
    const host = proposeBackend(hostNumber);
    await runUntilTrue(() => acceptedIndex > previousIndex, MAX_CONVERGENCE_MS);
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
      await world.run(POLL_INTERVAL_MS);
    }
    return condition();
  }

  function balancersHaveBackend(host: string): boolean[] {
    return world.balancers.map(({ state }) =>
      [...state.config.backends.values()].some(({ address }) => address.host === host),
    );
  }

  return {
    world,
    events,
    leader,
    proposeBackend,
    addBackend,
    acceptedIndex: () => acceptedIndex,
    isConverged,
    runUntilTrue,
    balancersHaveBackend,
  };
}

function termOf({ state }: SimulatedControl): number {
  return state?.consensus.term ?? 0;
}

/**
 * Silently cuts each process off from all other processes.
 * @returns a function that heals the cuts
 */
function isolateEach(world: World, processes: readonly SimulatedProcess[]): () => void {
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

/** For each balancer, the time in ms from the first control machine that applies an index until it is in force. */
function convergenceTimesMs(events: readonly TraceEvent[], index: number): number[] {
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

t.test('an accepted change is in force on every balancer', async (t) => {
  const { world, events, ...cluster } = await startWorld();
  const host = await cluster.addBackend(1);
  t.ok(await cluster.runUntilTrue(cluster.isConverged, MAX_CONVERGENCE_MS));
  t.equal(world.balancers.length, BALANCERS);
  t.ok(cluster.balancersHaveBackend(host).every(Boolean));
  const timesMs = convergenceTimesMs(events, cluster.acceptedIndex());
  t.equal(timesMs.length, BALANCERS, 'there is a time for each balancer');
  t.ok(
    Math.max(...timesMs) < MAX_FAULT_FREE_CONVERGENCE_MS,
    'without faults all balancers converge quickly',
  );
});

t.test('a restarted balancer gets the current configuration', async (t) => {
  const { world, ...cluster } = await startWorld();
  const balancer = world.balancers[7];
  balancer?.crash();
  world.after(500, () => balancer?.start());
  await world.run(400);
  const host = await cluster.addBackend(1);
  await world.run(200);
  t.equal(balancer?.status, 'running');
  t.ok(await cluster.runUntilTrue(cluster.isConverged, MAX_CONVERGENCE_MS));
  t.ok(cluster.balancersHaveBackend(host).every(Boolean));
});

t.test('accepted changes survive a simultaneous crash of all control machines', async (t) => {
  const { world, ...cluster } = await startWorld();
  const firstHost = await cluster.addBackend(1);
  world.controls.forEach((control) => control.crash());
  await world.run(1_000);
  world.controls.forEach((control) => control.start());
  t.ok(await cluster.runUntilTrue(() => cluster.leader() !== undefined, MAX_CONVERGENCE_MS));
  const secondHost = await cluster.addBackend(2);
  t.ok(await cluster.runUntilTrue(cluster.isConverged, MAX_CONVERGENCE_MS));
  t.ok(cluster.balancersHaveBackend(firstHost).every(Boolean));
  t.ok(cluster.balancersHaveBackend(secondHost).every(Boolean));
});

t.test(
  'changes continue while a zone is cut off, and the zone catches up afterwards',
  async (t) => {
    const { world, ...cluster } = await startWorld();
    const zone = cluster.leader()?.zone;
    const machines = [...world.controls, ...world.balancers];
    const restore = isolateEach(
      world,
      machines.filter((machine) => machine.zone === zone),
    );
    const isLeaderElsewhere = (): boolean => cluster.leader()?.zone !== zone;
    t.ok(
      await cluster.runUntilTrue(isLeaderElsewhere, MAX_CONVERGENCE_MS),
      'a control machine of another zone becomes leader',
    );
    const host = await cluster.addBackend(1);
    const reachableBalancers = world.balancers.filter((balancer) => balancer.zone !== zone);
    t.equal(reachableBalancers.length, 20);
    const areReachableConverged = (): boolean =>
      reachableBalancers.every(({ state }) => state.position.index >= cluster.acceptedIndex());
    t.ok(
      await cluster.runUntilTrue(areReachableConverged, MAX_CONVERGENCE_MS),
      'balancers fail over to another control machine',
    );
    t.notOk(cluster.isConverged(), 'the zone that is cut off lacks the change');
    restore();
    t.ok(await cluster.runUntilTrue(cluster.isConverged, MAX_CONVERGENCE_MS));
    t.ok(cluster.balancersHaveBackend(host).every(Boolean));
  },
);

t.test('a leader that is cut off accepts nothing, and catches up afterwards', async (t) => {
  const { world, ...cluster } = await startWorld();
  const formerLeader = cluster.leader();
  const restore = isolateEach(world, formerLeader === undefined ? [] : [formerLeader]);
  const outcomes: CommandOutcome[] = [];
  const refusedHost = cluster.proposeBackend(1, (outcome) => outcomes.push(outcome));
  const isLeaderElsewhere = (): boolean =>
    cluster.leader() !== undefined && cluster.leader()?.zone !== formerLeader?.zone;
  t.ok(await cluster.runUntilTrue(isLeaderElsewhere, MAX_CONVERGENCE_MS));
  const acceptedHost = await cluster.addBackend(2);
  t.ok(
    await cluster.runUntilTrue(cluster.isConverged, MAX_FAILOVER_CONVERGENCE_MS),
    'its balancers fail over to another control machine',
  );
  t.same(
    outcomes.map((outcome) => outcome.accepted),
    [false],
  );
  restore();
  await world.run(2_000);
  t.equal(formerLeader?.state?.cluster.index, cluster.leader()?.state?.cluster.index);
  t.ok(cluster.balancersHaveBackend(acceptedHost).every(Boolean));
  t.notOk(
    cluster.balancersHaveBackend(refusedHost).some(Boolean),
    'the refused change is in force on no balancer',
  );
});
