/**
 * @file One soak: starts the deployment, causes the faults of a seed while clients are served, lets it recover, and checks. Owns the folder of
 * the run, which keeps logs, schedule and verdict; `soak-world` owns the processes.
 */
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { IngressOracle, IngressViolation } from '../sim-registered/ingress-oracle.js';
import { strikeProcess } from './process-faults.js';
import { drawSchedule, type SoakFault } from './soak-schedule.js';
import { startSoakWorld, type SoakPlace, type SoakWorld } from './soak-world.js';
import {
  MEASUREMENT_MS,
  SETTLE_MS,
  MIN_SERVED_SHARE,
} from '../sim-registered/deployment-constants.js';

/** What a soak does. */
export interface SoakOptions {
  readonly seed: number;
  /** How long faults come, in milliseconds. */
  readonly durationMs: number;
  /** A folder that does not exist yet. */
  readonly folder: string;
  readonly place: SoakPlace;
}

/** What came out of a soak. */
export interface SoakVerdict {
  readonly seed: number;
  readonly violations: readonly IngressViolation[];
  readonly servedRequests: number;
  readonly failedRequests: number;
  /** Faults by kind. */
  readonly faults: Readonly<Record<string, number>>;
  /** Processes that ended though nobody had asked for it, with the times that they did. */
  readonly unaskedEnds: Readonly<Record<string, number>>;
}

/** The deployment must be at work within this time after its start, in milliseconds. */
const START_LIMIT_MS = 30_000;
const POLL_MS = 100;

/**
 * Runs a soak.
 * @returns the verdict; rejects where the deployment does not come to work at all
 */
export async function runSoak({
  seed,
  durationMs,
  folder,
  place,
}: SoakOptions): Promise<SoakVerdict> {
  await mkdir(folder, { recursive: true });
  const world = await startSoakWorld(seed, folder, place);
  try {
    const { tolerableLosses, catchUpMs } = world.options;
    const schedule = drawSchedule({
      seed,
      durationMs,
      controlCount: place.sizes.controls,
      balancerCount: place.sizes.balancers,
      tolerableLosses,
      catchUpMs,
      hasRestarts: true,
    });
    await writeJson(folder, 'schedule.json', { seed, durationMs, place, schedule });
    await untilReady(world);
    const servedBefore = await serveFor(world, MEASUREMENT_MS);
    await strikeAll(world, schedule, durationMs);
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

async function untilReady(world: SoakWorld): Promise<void> {
  world.operator.declareNext();
  for (let waitedMs = 0; !world.isReady(); waitedMs += POLL_MS) {
    if (waitedMs >= START_LIMIT_MS) {
      throw new Error(`The deployment was not at work within ${START_LIMIT_MS} ms.`);
    }
    await sleep(POLL_MS);
  }
  world.startClients();
}

/** @returns how many requests were served in that time */
async function serveFor(world: SoakWorld, forMs: number): Promise<number> {
  const before = world.oracle.servedRequests;
  await sleep(forMs);
  return world.oracle.servedRequests - before;
}

async function strikeAll(
  world: SoakWorld,
  schedule: readonly SoakFault[],
  durationMs: number,
): Promise<void> {
  for (const fault of schedule) {
    world.clock.after(fault.atMs, () => strikeProcess(world, fault));
  }
  await sleep(durationMs);
}

/** Two leaders of one term are seen in the logs of control machines. */
async function recordLeaders(
  { controls, oracle, clock }: SoakWorld,
  folder: string,
): Promise<void> {
  for (const { process } of controls) {
    const log = await readFile(join(folder, `${process.name}.log`), 'utf8');
    recordLeadersOf(log, process.name, oracle, clock.nowMs);
  }
}

/** Tells the oracle of each term that a log says its machine led in. */
export function recordLeadersOf(
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
  const ended = processes.filter(({ unaskedEnds }) => unaskedEnds > 0);
  return {
    seed,
    violations: world.oracle.violations,
    servedRequests: world.oracle.servedRequests,
    failedRequests: world.clients.reduce((sum, client) => sum + client.failedRequests, 0),
    faults,
    unaskedEnds: Object.fromEntries(ended.map(({ name, unaskedEnds }) => [name, unaskedEnds])),
  };
}

async function writeJson(folder: string, name: string, content: object): Promise<void> {
  await writeFile(join(folder, name), `${JSON.stringify(content, undefined, 2)}\n`);
}
