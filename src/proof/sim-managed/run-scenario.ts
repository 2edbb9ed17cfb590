/**
 * @file Runs a scenario from a seed and checks its trace with the oracle. The same seed always
 * gives the same trace.
 */
import { seededRandom } from '../../shared/common/random.js';
import { ClusterFaults } from './cluster-faults.js';
import type { CheckName, Violation } from './oracle/check.js';
import { Oracle } from './oracle/oracle.js';
import type { Scenario } from './scenarios/scenario.js';
import type { SimulatedSteps } from './simulated-steps.js';
import type { TraceEvent } from './trace.js';
import { World } from './world.js';

/** Result of one run. */
export interface RunReport {
  readonly scenario: string;
  readonly seed: number;
  readonly violations: readonly Violation[];
  /** Number of faults and planned changes. */
  readonly faults: number;
  /** Number of finished requests, delivered notices and answered commands. */
  readonly outcomes: number;
  readonly events: number;
  readonly virtualMs: number;
  /** Hash of the trace, in hex. */
  readonly digest: string;
  readonly trace: readonly TraceEvent[];
}

/** Options of a run. */
export interface RunOptions {
  readonly steps?: SimulatedSteps;
  readonly keepsPackets?: boolean;
  /** Ends the run at the next interval after the first violation of this check. */
  readonly stopsAtViolationOf?: CheckName;
}

const CHECK_INTERVAL_MS = 500;

/**
 * Runs a scenario in a new world and checks it with a new oracle.
 */
export async function runScenario(
  scenario: Scenario,
  seed: number,
  options: RunOptions = {},
): Promise<RunReport> {
  const oracle = new Oracle();
  const world = new World({ seed, plan: scenario.plan, listener: oracle, ...options });
  const faults = new ClusterFaults(world);
  await world.setUp();
  scenario.schedule({ world, faults, random: seededRandom(seed) });
  const endMs = world.simulation.nowMs + scenario.durationMs;
  while (world.simulation.nowMs < endMs) {
    await world.run(Math.min(CHECK_INTERVAL_MS, endMs - world.simulation.nowMs));
    if (oracle.violations.some(({ check }) => check === options.stopsAtViolationOf)) {
      break;
    }
  }
  world.recordFinalConfigs();
  const { trace, nowMs } = world.simulation;
  oracle.finish(nowMs);
  const outcomeTypes = new Set(['outcome', 'notice', 'command-answered']);
  return {
    scenario: scenario.name,
    seed,
    violations: oracle.violations,
    faults: faults.count,
    outcomes: trace.events.filter(({ type }) => outcomeTypes.has(type)).length,
    events: trace.events.length,
    virtualMs: nowMs,
    digest: trace.digest(),
    trace: trace.events,
  };
}
