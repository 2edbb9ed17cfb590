/**
 * @file Runs one soak: starts the deployment, injects the faults of a seed under client load, waits for recovery and checks
 * the result. Writes the schedule and the verdict into the folder of the run.
 */
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { IngressOracle, IngressViolation } from '../sim-registered/ingress-oracle.js';
import { injectProcessFault } from './process-faults.js';
import { drawSchedule, type SoakFault } from './soak-schedule.js';
import { startSoakWorld, type SoakDeployment, type SoakWorld } from './soak-world.js';
import {
  MEASUREMENT_MS,
  SETTLE_MS,
  MIN_SERVED_SHARE,
} from '../sim-registered/deployment-constants.js';

/** Options of one soak. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of fault injection, in milliseconds. */
  readonly durationMs: number;
  /** Folder for logs, schedule and verdict; created if missing. */
  readonly folder: string;
  readonly deployment: SoakDeployment;
}

/** Result of one soak. */
export interface SoakVerdict {
  readonly seed: number;
  readonly violations: readonly IngressViolation[];
  readonly servedRequests: number;
  readonly failedRequests: number;
  /** Number of injected faults by kind. */
  readonly faults: Readonly<Record<string, number>>;
  /** Number of unexpected exits by process name; only processes that had any. */
  readonly unaskedEnds: Readonly<Record<string, number>>;
}

const STARTUP_TIMEOUT_MS = 30_000;
const POLL_MS = 100;

/**
 * Runs a soak.
 * @returns the verdict; rejects if the deployment does not become ready after its start
 */
export async function runSoak({
  seed,
  durationMs,
  folder,
  deployment,
}: SoakOptions): Promise<SoakVerdict> {
  await mkdir(folder, { recursive: true });
  const world = await startSoakWorld(seed, folder, deployment);
  try {
    const { tolerableLosses, catchUpMs } = world.options;
    const schedule = drawSchedule({
      seed,
      durationMs,
      controlCount: deployment.sizes.controls,
      balancerCount: deployment.sizes.balancers,
      tolerableLosses,
      catchUpMs,
      hasRestarts: true,
    });
    await writeJson(folder, 'schedule.json', { seed, durationMs, place: deployment, schedule });
    await waitUntilReady(world);
    const servedBefore = await serveFor(world, MEASUREMENT_MS);
    await injectFaults(world, schedule, durationMs);
    await sleep(SETTLE_MS);
    const servedAfter = await serveFor(world, MEASUREMENT_MS);
    const share = servedAfter / Math.max(1, servedBefore);
    world.oracle.checkRecovery(share, MIN_SERVED_SHARE, world.clock.nowMs);
    await world.readBack();
    await recordLeaders(world, folder);
    const verdict = verdictOf(seed, world, schedule);
    await writeJson(folder, 'verdict.json', verdict);
    return verdict;
  } finally {
    await world.close();
  }
}

async function waitUntilReady(world: SoakWorld): Promise<void> {
  world.operator.declareNext();
  for (let waitedMs = 0; !world.isReady(); waitedMs += POLL_MS) {
    if (waitedMs >= STARTUP_TIMEOUT_MS) {
      throw new Error(`The deployment was not ready within ${STARTUP_TIMEOUT_MS} ms.`);
    }
    await sleep(POLL_MS);
  }
  world.startClients();
}

/** @returns the number of requests served in the given time */
async function serveFor(world: SoakWorld, forMs: number): Promise<number> {
  const before = world.oracle.servedRequests;
  await sleep(forMs);
  return world.oracle.servedRequests - before;
}

async function injectFaults(
  world: SoakWorld,
  schedule: readonly SoakFault[],
  durationMs: number,
): Promise<void> {
  for (const fault of schedule) {
    world.clock.after(fault.atMs, () => injectProcessFault(world, fault));
  }
  await sleep(durationMs);
}

/** Reports the leaders of all terms from the logs of the control machines, so that the oracle finds two in one term. */
async function recordLeaders(
  { controls, oracle, clock }: SoakWorld,
  folder: string,
): Promise<void> {
  for (const { process } of controls) {
    const log = await readFile(join(folder, `${process.name}.log`), 'utf8');
    recordLeadersFromLog(log, process.name, oracle, clock.nowMs);
  }
}

/** Reports each term in which a machine was leader according to its log. */
export function recordLeadersFromLog(
  log: string,
  name: string,
  oracle: Pick<IngressOracle, 'recordLeader'>,
  nowMs: number,
): void {
  for (const [, term] of log.matchAll(/ role role=leader term=(\d+)/g)) {
    oracle.recordLeader(Number(term), name, nowMs);
  }
}

function verdictOf(seed: number, world: SoakWorld, schedule: readonly SoakFault[]): SoakVerdict {
  const faults: Record<string, number> = {};
  for (const { kind } of schedule) {
    faults[kind] = (faults[kind] ?? 0) + 1;
  }
  const processes = [...world.controls.map(({ process }) => process), ...world.balancers];
  const ended = processes.filter(({ unexpectedExits }) => unexpectedExits > 0);
  return {
    seed,
    violations: world.oracle.violations,
    servedRequests: world.oracle.servedRequests,
    failedRequests: world.clients.reduce((sum, client) => sum + client.failedRequests, 0),
    faults,
    unaskedEnds: Object.fromEntries(
      ended.map(({ name, unexpectedExits }) => [name, unexpectedExits]),
    ),
  };
}

async function writeJson(folder: string, name: string, content: object): Promise<void> {
  await writeFile(join(folder, name), `${JSON.stringify(content, undefined, 2)}\n`);
}
