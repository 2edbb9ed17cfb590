/**
 * @file One run of the simulated deployment of the registered pair under faults drawn from a seed, with the oracle's verdict.
 */
import type { IngressViolation } from './ingress-oracle.js';
import { DrawnFaults, drawnFaultKinds, type DrawnFaultKind } from './drawn-faults.js';
import { IngressWorld } from './ingress-world.js';
import { smallIngressWorld, type IngressWorldOptions } from './world-parts.js';

/** What any run does. */
export interface WorldRun {
  readonly seed: number;
  /** How it ends: two disks lost and all else without power right after an acknowledgement, or not. */
  readonly endsWithLoss: boolean;
  readonly options?: Partial<IngressWorldOptions>;
  /** Breaks the world, for mutants. */
  readonly prepare?: (world: IngressWorld) => void;
}

/** A run whose faults are drawn one by one. */
export interface IngressRun extends WorldRun {
  readonly faultCount: number;
  /** Kinds that are drawn from. */
  readonly kinds?: readonly DrawnFaultKind[];
}

/** What came out. */
export interface IngressRunReport {
  readonly violations: readonly IngressViolation[];
  readonly servedRequests: number;
  readonly failedRequests: number;
  readonly log: readonly string[];
}

const FORMATION_MS = 6_000;
const MEAN_GAP_MS = 1_500;
const SETTLE_MS = 12_000;
const MEASURED_MS = 5_000;
const LEAST_SERVED_SHARE = 0.25;
const ACKNOWLEDGE_WITHIN_MS = 8_000;

/**
 * Runs the deployment, causes faults, lets it recover and has the oracle check it.
 */
export function runIngressWorld(run: IngressRun): Promise<IngressRunReport> {
  return runWorld(run, (world, faults) => strikeAll(world, faults, run));
}

/**
 * The same with faults of any source.
 * @param strikeAll causes them; resolves once the last one has begun
 */
export async function runWorld(
  run: WorldRun,
  strikeAll: (world: IngressWorld, faults: DrawnFaults) => Promise<void>,
): Promise<IngressRunReport> {
  const world = new IngressWorld(run.seed, { ...smallIngressWorld, ...run.options });
  const faults = new DrawnFaults(world);
  world.start();
  await world.run(FORMATION_MS);
  run.prepare?.(world);
  world.startClients();
  await world.run(MEASURED_MS);
  const servedBefore = world.oracle.servedRequests;
  await strikeAll(world, faults);
  await finish(world, faults, run.endsWithLoss);
  await checkRecovery(world, servedBefore);
  return {
    violations: world.oracle.violations,
    servedRequests: world.oracle.servedRequests,
    failedRequests: world.clients.reduce((sum, client) => sum + client.failedRequests, 0),
    log: world.log,
  };
}

async function strikeAll(
  world: IngressWorld,
  faults: DrawnFaults,
  { faultCount, kinds = drawnFaultKinds }: IngressRun,
): Promise<void> {
  for (let struck = 0; struck < faultCount; struck += 1) {
    const kind = kinds[world.random.nextInt(kinds.length)];
    if (kind !== undefined) {
      faults.strike(kind);
    }
    await world.run(world.random.nextFloat() * 2 * MEAN_GAP_MS);
  }
}

async function finish(
  world: IngressWorld,
  faults: DrawnFaults,
  endsWithLoss: boolean,
): Promise<void> {
  await world.run(SETTLE_MS);
  if (endsWithLoss) {
    world.operator.declareNext(() => faults.wipeSomePowerOffAll());
    await world.run(ACKNOWLEDGE_WITHIN_MS);
    await world.run(SETTLE_MS);
  }
}

async function checkRecovery(world: IngressWorld, servedBefore: number): Promise<void> {
  const { oracle } = world;
  const servedAtStart = oracle.servedRequests;
  await world.run(MEASURED_MS);
  const servedShare = (oracle.servedRequests - servedAtStart) / Math.max(1, servedBefore);
  oracle.checkRecovery(servedShare, LEAST_SERVED_SHARE, world.clock.nowMs);
  world.readBackFromAll();
  await world.run(MEASURED_MS);
}
