/**
 * @file Type of a scenario (a world and the events that are scheduled in it), and helpers that draw random times and
 * targets.
 */
import type { RandomSource } from '../../../shared/common/step.js';
import type { ClusterFaults } from '../cluster-faults.js';
import type { WorldPlan } from '../world-plan.js';
import type { World } from '../world.js';

/** The world that a scenario acts on, its fault injector and its random source. */
export interface ScenarioScope {
  readonly world: World;
  readonly faults: ClusterFaults;
  readonly random: RandomSource;
}

/** A scenario; times in milliseconds. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  readonly plan: WorldPlan;
  /** Duration after the set-up. */
  readonly durationMs: number;
  /** Schedules the events of the scenario with `world.after`. */
  schedule(scope: ScenarioScope): void;
}

/** Fault-free time at the end of a run; longer than the deadlines of the checks. */
export const FAULT_FREE_END_MS = 9_000;

/**
 * Schedules an action at random times until `endMs`, with exponentially distributed intervals.
 * @param meanIntervalMs mean interval
 */
export function atRandomTimes(
  { world, random }: ScenarioScope,
  endMs: number,
  meanIntervalMs: number,
  action: () => void,
): void {
  for (let atMs = drawIntervalMs(); atMs < endMs; atMs += drawIntervalMs()) {
    world.after(atMs, action);
  }

  function drawIntervalMs(): number {
    return -Math.log(1 - random.nextFloat()) * meanIntervalMs;
  }
}

/**
 * Schedules a notice for each service with feeds at a fixed interval.
 */
export function publishRegularly(
  { world }: ScenarioScope,
  endMs: number,
  intervalMs: number,
): void {
  const servicesWithFeeds = world.plan.services.filter(({ feeds }) => feeds > 0);
  for (let atMs = intervalMs; atMs < endMs; atMs += intervalMs) {
    world.after(atMs, () => servicesWithFeeds.forEach((service) => world.publish(service)));
  }
}

/**
 * @returns a random item; undefined if there are no items
 */
export function pick<T>(random: RandomSource, items: readonly T[]): T | undefined {
  return items.length === 0 ? undefined : items[random.nextInt(items.length)];
}

/**
 * @returns an integer from `low` (included) to `high` (excluded)
 */
export function integerBetween(random: RandomSource, low: number, high: number): number {
  return low + random.nextInt(high - low);
}
