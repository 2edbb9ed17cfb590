/**
 * @file What a scenario is: a world, a duration, and what is done to the world meanwhile; and the helpers that draw times and targets.
 */
import type { RandomSource } from '../../../shared/common/step.js';
import type { ClusterFaults } from '../cluster-faults.js';
import type { WorldPlan } from '../world-plan.js';
import type { World } from '../world.js';

/** What a scenario acts on. */
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
  /** How long it lasts after the set-up. */
  readonly durationMs: number;
  /** Plans what happens, by `world.after`. */
  schedule(scope: ScenarioScope): void;
}

/** Time at the end of a run in which nothing is disturbed, so that all promises fall due. */
export const QUIET_END_MS = 9_000;

/**
 * Does something at random times, evenly spread over the run.
 * @param meanIntervalMs mean time between two times
 */
export function atRandomTimes(
  { world, random }: ScenarioScope,
  endMs: number,
  meanIntervalMs: number,
  action: () => void,
): void {
  for (let atMs = gap(); atMs < endMs; atMs += gap()) {
    world.after(atMs, action);
  }

  function gap(): number {
    return -Math.log(1 - random.nextFloat()) * meanIntervalMs;
  }
}

/**
 * Publishes notices for each service with feeds.
 */
export function publishRegularly(
  { world }: ScenarioScope,
  endMs: number,
  intervalMs: number,
): void {
  const feeding = world.plan.services.filter(({ feeds }) => feeds > 0);
  for (let atMs = intervalMs; atMs < endMs; atMs += intervalMs) {
    world.after(atMs, () => feeding.forEach((service) => world.publish(service)));
  }
}

/**
 * @returns one of the items at random; undefined where there is none
 */
export function pick<T>(random: RandomSource, items: readonly T[]): T | undefined {
  return items.length === 0 ? undefined : items[random.nextInt(items.length)];
}

/**
 * @returns an integer from `low` (included) to `high` (excluded)
 */
export function between(random: RandomSource, low: number, high: number): number {
  return low + random.nextInt(high - low);
}
