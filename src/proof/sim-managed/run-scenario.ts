/**
 * @file Runs a scenario from a seed and has the oracle check it: one seed, one trace.
 */
import { seededRandom } from '../../shared/common/random.js';
import { ClusterFaults } from './cluster-faults.js';
import type { CheckName, Violation } from './oracle/check.js';
import { Oracle } from './oracle/oracle.js';
import type { Scenario } from './scenarios/scenario.js';
import type { SimulatedSteps } from './simulated-steps.js';
import type { TraceEvent } from './trace.js';
import { World } from './world.js';

/** What came of one run. */
export interface RunReport {
  readonly scenario: string;
  readonly seed: number;
  readonly violations: readonly Violation[];
  /** Faults and planned changes. */
  readonly faults: number;
  /** Requests that ended, notices delivered and commands answered. */
  readonly outcomes: number;
  readonly events: number;
  readonly virtualMs: number;
  /** Hash of the trace, in hex. */
  readonly digest: string;
  readonly trace: readonly TraceEvent[];
}

/** How to run a scenario. */
export interface RunOptions {
  readonly steps?: SimulatedSteps;
  readonly keepsPackets?: boolean;
  /** The run ends soon after the first violation of this check. */
  readonly stopsAtViolationOf?: CheckName;
}

const SLICE_MS = 500;

/**
 * Runs a scenario from a seed.
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
    await world.run(Math.min(SLICE_MS, endMs - world.simulation.nowMs));
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
