/**
 * @file Measures hollow worlds of several sizes, and how each figure grows with the nodes.
 */
import type { TimeSummary } from './in-force-tracker.js';
import { CHANGES_PER_DAY, DailyLoad, loadRates, RESTARTS_PER_DAY } from './daily-load.js';
import type { ConfigSize } from './first-state.js';
import { heapAfterCollection } from './heap.js';
import { HollowWorld } from './hollow-world.js';
import { measureNodeMemory, type NodeMemory } from './node-memory.js';
import { LETTER_REGIONS, LETTER_ZONES } from './places.js';
import { runScenarios, type ScenarioFigures } from './scenarios.js';
import { slopesOf, type Slope } from './slopes.js';
import { measurePeriod, type PeriodFigures } from './usage-report.js';

const BACKENDS_PER_BALANCER = 8;
/** 5,000 addresses for 12,000 back ends. */
const BACKENDS_PER_SERVICE = 2.4;
/** Ticks of hollow balancers come more seldom than the daemon's; their cost is scaled back. */
const BALANCER_TICK_MS = 100;
/** In worlds with more balancers than `LARGE_WORLD`. */
const LARGE_WORLD_TICK_MS = 1_000;
const LARGE_WORLD = 500;
/** A first world that is not measured, so that the compiler has done its work. */
const WARM_UP_BALANCERS = 20;
const CONTROL_MACHINES = 5;
const WARM_UP_MS = 2_000;
const SETTLE_MS = 60_000;

/** How much is measured. */
export interface HollowBenchOptions {
  readonly seed: number;
  /** Balancers of each world. */
  readonly sizes: readonly number[];
  readonly idleMs: number;
  readonly loadMs: number;
  /** How many times faster than on a day changes and restarts come. */
  readonly compression: number;
  /** Balancers of the world in which failures are run. */
  readonly scenarioBalancers: number;
}

/** The figures of one size. */
export interface SizeFigures {
  readonly balancers: number;
  readonly controls: number;
  readonly config: ConfigSize;
  readonly idle: PeriodFigures;
  readonly load: PeriodFigures & {
    readonly compression: number;
    readonly changesPerSecond: number;
    readonly restartsPerSecond: number;
  };
  /** From accepted to in force, for each change and balancer, under load. */
  readonly inForce: TimeSummary;
  /** From accepted until the last balancer has it in force, for each change, under load. */
  readonly inForceEverywhere: TimeSummary;
  /** False where some balancer still lacked a change a minute after the load. */
  readonly converged: boolean;
  readonly memory: NodeMemory;
  /** Heap of the whole world after a collection. */
  readonly worldHeapBytes: number;
  readonly wallSeconds: number;
}

/** The whole report. */
export interface HollowReport {
  readonly seed: number;
  readonly perDay: { readonly changes: number; readonly restartsAt1500: number };
  readonly sizes: readonly SizeFigures[];
  readonly slopes: readonly Slope[];
  readonly scenarioBalancers: number;
  readonly scenarios: readonly ScenarioFigures[];
}

/**
 * Runs worlds of all sizes, one after the other.
 * @param progress called with a line before each
 */
export function runHollowBench(
  options: HollowBenchOptions,
  progress: (line: string) => void,
): HollowReport {
  measureSize(options, WARM_UP_BALANCERS);
  const sizes = options.sizes.map((balancers) => {
    progress(`Hollow world of ${balancers} balancers.`);
    return measureSize(options, balancers);
  });
  const { seed, scenarioBalancers } = options;
  progress(`Failures in a hollow world of ${scenarioBalancers} balancers.`);
  return {
    seed,
    perDay: { changes: CHANGES_PER_DAY, restartsAt1500: RESTARTS_PER_DAY },
    sizes,
    slopes: slopesOf(sizes),
    scenarioBalancers,
    scenarios: runScenarios(startWorld(seed, scenarioBalancers)),
  };
}

function startWorld(seed: number, balancers: number): HollowWorld {
  const world = new HollowWorld({
    seed,
    balancers,
    controls: CONTROL_MACHINES,
    regions: LETTER_REGIONS,
    zones: LETTER_ZONES,
    config: configFor(balancers),
    balancerTickMs: balancers > LARGE_WORLD ? LARGE_WORLD_TICK_MS : BALANCER_TICK_MS,
  });
  world.start();
  return world;
}

/**
 * @returns services and back ends in the letter's proportion to the balancers
 */
export function configFor(balancers: number): ConfigSize {
  const backends = balancers * BACKENDS_PER_BALANCER;
  return { backends, services: Math.ceil(backends / BACKENDS_PER_SERVICE) };
}

function measureSize(options: HollowBenchOptions, balancers: number): SizeFigures {
  const startMs = performance.now();
  const config = configFor(balancers);
  const memory = measureNodeMemory(config);
  const world = startWorld(options.seed, balancers);
  world.queue.runUntil(world.queue.nowMs + WARM_UP_MS);
  const idle = measurePeriod(world, options.idleMs);
  const { loadMs, compression } = options;
  new DailyLoad(world).schedule({ durationMs: loadMs, compression });
  world.tracker.reset();
  const load = measurePeriod(world, loadMs);
  const converged = world.queue.runUntilTrue(() => world.tracker.unfinished === 0, SETTLE_MS);
  return {
    balancers,
    controls: CONTROL_MACHINES,
    config,
    idle,
    load: { ...load, compression, ...loadRates(balancers, compression) },
    inForce: world.tracker.summary(),
    inForceEverywhere: world.tracker.summaryEverywhere(),
    converged,
    memory,
    worldHeapBytes: heapAfterCollection(),
    wallSeconds: (performance.now() - startMs) / 1_000,
  };
}
