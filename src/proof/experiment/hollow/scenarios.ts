/**
 * @file Failures of a whole hollow world: regions apart, a zone lost, every balancer restarted.
 */
import { DailyLoad } from './daily-load.js';
import type { HollowWorld } from './hollow-world.js';
import type { Place } from './places.js';
import { measurePeriod } from './usage-report.js';

const CHANGE_COMPRESSION = 30;
const APART_MS = 120_000;
const LOST_MS = 60_000;
const ROLLING_MS = 60_000;
/** Within this time a change must be in force, in milliseconds. */
const IN_FORCE_BOUND_MS = 8_000;
const RESTART_DOWN_MS = 500;
const CONVERGENCE_LIMIT_MS = 120_000;

/** What came of a scenario. */
export interface ScenarioFigures {
  readonly name: string;
  /** What was done, with what was compressed. */
  readonly description: string;
  readonly changesAccepted: number;
  /** From the repair until all balancers have all accepted changes; undefined where it did not come. */
  readonly convergedAfterMs: number | undefined;
  /** Balancers that could be reached throughout and lacked a change that was accepted 8 s before the end. */
  readonly laggingAtEnd: number;
  /** Bytes a second that the leader sent on average while balancers caught up, or while they restarted. */
  readonly leaderBytesPerSecond: number;
}

/** A scenario: fails, waits, repairs. */
interface Failure {
  readonly name: string;
  readonly description: string;
  readonly durationMs: number;
  begin(): void;
  end(): void;
  isAffected(place: Place): boolean;
}

/**
 * Runs all scenarios in one world, one after the other.
 */
export function runScenarios(world: HollowWorld): ScenarioFigures[] {
  const runs: readonly (() => ScenarioFigures)[] = [
    () => runFailure(world, regionsApart(world)),
    () => runFailure(world, zoneLost(world)),
    () => rollingRestart(world),
  ];
  return runs.map((run) => run());
}

/** Cuts off the region after the leader's. */
function regionsApart(world: HollowWorld): Failure {
  const { regions } = world.options;
  const region = ((world.leader()?.place.region ?? 0) + 1) % regions;
  return {
    name: 'regions apart',
    description: 'One region cut off for 2 minutes, with more changes than an hour has.',
    durationMs: APART_MS,
    begin: () => world.network.setRegionCut(region, true),
    end: () => world.network.setRegionCut(region, false),
    isAffected: (place) => place.region === region,
  };
}

function zoneLost(world: HollowWorld): Failure {
  const zone = world.leader()?.place.zone ?? 'zone-1';
  return {
    name: 'zone lost',
    description: "The leader's zone without network for 1 minute.",
    durationMs: LOST_MS,
    begin: () => world.network.setZoneLost(zone, true),
    end: () => world.network.setZoneLost(zone, false),
    isAffected: (place) => place.zone === zone,
  };
}

function runFailure(world: HollowWorld, failure: Failure): ScenarioFigures {
  const load = new DailyLoad(world);
  const before = world.acceptedCount;
  load.schedule({ durationMs: failure.durationMs, compression: CHANGE_COMPRESSION });
  failure.begin();
  world.queue.runUntil(world.queue.nowMs + failure.durationMs - IN_FORCE_BOUND_MS);
  const dueIndex = world.acceptedIndex;
  world.queue.runUntil(world.queue.nowMs + IN_FORCE_BOUND_MS);
  const laggingAtEnd = world.balancers.filter(
    ({ isUp, place, state }) =>
      isUp && !failure.isAffected(place) && state.position.index < dueIndex,
  ).length;
  failure.end();
  const { convergedAfterMs, leaderBytesPerSecond } = converge(world);
  const { name, description } = failure;
  return {
    name,
    description,
    changesAccepted: world.acceptedCount - before,
    convergedAfterMs,
    laggingAtEnd,
    leaderBytesPerSecond,
  };
}

function converge(world: HollowWorld) {
  world.meter.reset();
  const startMs = world.queue.nowMs;
  const converged = world.runUntilConverged(CONVERGENCE_LIMIT_MS);
  const tookMs = world.queue.nowMs - startMs;
  return {
    convergedAfterMs: converged ? tookMs : undefined,
    leaderBytesPerSecond: (world.meter.sentBytes('leader') * 1_000) / Math.max(1, tookMs),
  };
}

function rollingRestart(world: HollowWorld): ScenarioFigures {
  const load = new DailyLoad(world);
  const before = world.acceptedCount;
  const step = ROLLING_MS / world.balancers.length;
  world.balancers.forEach((_, number) =>
    world.queue.after(number * step, () => world.restartBalancer(number, RESTART_DOWN_MS)),
  );
  load.schedule({ durationMs: ROLLING_MS, compression: CHANGE_COMPRESSION });
  const period = measurePeriod(world, ROLLING_MS);
  const dueIndex = world.acceptedIndex;
  world.queue.runUntil(world.queue.nowMs + IN_FORCE_BOUND_MS);
  const laggingAtEnd = world.balancers.filter(
    ({ isUp, state }) => isUp && state.position.index < dueIndex,
  ).length;
  const { convergedAfterMs } = converge(world);
  return {
    name: 'rolling restart',
    description: 'Every balancer restarted once within 1 minute.',
    changesAccepted: world.acceptedCount - before,
    convergedAfterMs,
    laggingAtEnd,
    leaderBytesPerSecond: period.roles.leader.sent.bytesPerSecond,
  };
}
