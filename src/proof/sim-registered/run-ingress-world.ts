/**
 * @file Runs the simulated deployment of the registered mode under seeded faults and reports the violations.
 */
import type { IngressViolation } from './ingress-oracle.js';
import { DrawnFaults, drawnFaultKinds, type DrawnFaultKind } from './drawn-faults.js';
import { IngressWorld } from './ingress-world.js';
import { smallIngressWorld, type IngressWorldOptions } from './world-parts.js';
import { MEASUREMENT_MS, SETTLE_MS, MIN_SERVED_SHARE } from './deployment-constants.js';

/** Parameters of any run. */
export interface WorldRun {
  readonly seed: number;
  /** If true, the run ends with lost disks and a power failure right after an acknowledgement. */
  readonly endsWithLoss: boolean;
  readonly options?: Partial<IngressWorldOptions>;
  /** Modifies the deployment before the clients start, for mutants. */
  readonly prepare?: (world: IngressWorld) => void;
}

/** Parameters of a run with random faults. */
export interface IngressRun extends WorldRun {
  readonly faultCount: number;
  /** Kinds of faults to choose from; all by default. */
  readonly kinds?: readonly DrawnFaultKind[];
}

/** The result of a run. */
export interface IngressRunReport {
  readonly violations: readonly IngressViolation[];
  readonly servedRequests: number;
  readonly failedRequests: number;
  readonly log: readonly string[];
}

/** Time for the group to form and back ends to register. */
const FORMATION_MS = 6_000;
/** Shorter than most faults, so that several overlap. */
const MEAN_FAULT_INTERVAL_MS = 1_500;
/** Time for the last configuration to be acknowledged before the final loss. */
const ACKNOWLEDGE_TIMEOUT_MS = 8_000;

/** Runs the deployment, injects random faults, lets it recover and checks it with the oracle. */
export function runIngressWorld(run: IngressRun): Promise<IngressRunReport> {
  return runWorld(run, (world, faults) => injectAll(world, faults, run));
}

/**
 * Runs the deployment with faults injected by the caller.
 * @param injectAll injects the faults; resolves after the last one has started
 */
export async function runWorld(
  run: WorldRun,
  injectAll: (world: IngressWorld, faults: DrawnFaults) => Promise<void>,
): Promise<IngressRunReport> {
  const world = new IngressWorld(run.seed, { ...smallIngressWorld, ...run.options });
  const faults = new DrawnFaults(world);
  world.start();
  await world.run(FORMATION_MS);
  run.prepare?.(world);
  world.startClients();
  await world.run(MEASUREMENT_MS);
  const baselineRequests = world.oracle.servedRequests;
  await injectAll(world, faults);
  await finish(world, faults, run.endsWithLoss);
  await checkRecovery(world, baselineRequests);
  return {
    violations: world.oracle.violations,
    servedRequests: world.oracle.servedRequests,
    failedRequests: world.clients.reduce((sum, client) => sum + client.failedRequests, 0),
    log: world.log,
  };
}

async function injectAll(
  world: IngressWorld,
  faults: DrawnFaults,
  { faultCount, kinds = drawnFaultKinds }: IngressRun,
): Promise<void> {
  for (let injected = 0; injected < faultCount; injected += 1) {
    const kind = kinds[world.random.nextInt(kinds.length)];
    if (kind !== undefined) {
      faults.inject(kind);
    }
    await world.run(world.random.nextFloat() * 2 * MEAN_FAULT_INTERVAL_MS);
  }
}

async function finish(
  world: IngressWorld,
  faults: DrawnFaults,
  endsWithLoss: boolean,
): Promise<void> {
  await world.run(SETTLE_MS);
  if (endsWithLoss) {
    world.operator.declareNext(() => faults.wipeSomePowerOffRest());
    await world.run(ACKNOWLEDGE_TIMEOUT_MS);
    await world.run(SETTLE_MS);
  }
}

async function checkRecovery(world: IngressWorld, baselineRequests: number): Promise<void> {
  const { oracle } = world;
  const servedAtStart = oracle.servedRequests;
  await world.run(MEASUREMENT_MS);
  const servedShare = (oracle.servedRequests - servedAtStart) / Math.max(1, baselineRequests);
  oracle.checkRecovery(servedShare, MIN_SERVED_SHARE, world.clock.nowMs);
  world.readBackFromAll();
  await world.run(MEASUREMENT_MS);
}
