/** @file Stateful fuzzing of the simulated world: random commands in random order, checked by the oracle. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import fc from 'fast-check';
import { ClusterFaults } from '../../../src/proof/sim-managed/cluster-faults.js';
import type { Violation } from '../../../src/proof/sim-managed/oracle/check.js';
import { Oracle } from '../../../src/proof/sim-managed/oracle/oracle.js';
import {
  productSteps,
  type SimulatedSteps,
} from '../../../src/proof/sim-managed/simulated-steps.js';
import { formatTrace } from '../../../src/proof/sim-managed/violation-file.js';
import { smallWorld } from '../../../src/proof/sim-managed/world-plan.js';
import { World } from '../../../src/proof/sim-managed/world.js';
import { fuzzCommands, type FuzzModel, type FuzzSystem } from './fuzz-commands.js';

const MAX_COMMANDS = 30;
/** Time after the last command in which all faults end and all deadlines of the checks pass. */
const FAULT_FREE_END_MS = 16_000;

/** Options of a fuzzing run. */
export interface FuzzOptions {
  readonly seed: number;
  readonly schedules: number;
  readonly steps?: SimulatedSteps;
  /** Folder for the trace of the shrunk failing schedule. */
  readonly traceFolder?: string;
}

/** Result of a fuzzing run. */
export interface FuzzReport {
  readonly schedules: number;
  readonly commands: number;
  readonly faults: number;
  /** The shrunk failing schedule; absent if no schedule failed. */
  readonly failure?: {
    readonly commands: string;
    readonly violations: readonly Violation[];
    readonly traceFile: string | undefined;
  };
}

type Commands = Iterable<fc.AsyncCommand<FuzzModel, FuzzSystem>>;

interface ScheduleResult {
  readonly violations: readonly Violation[];
  readonly commands: number;
  readonly faults: number;
  readonly traceText: string;
}

/** Runs random schedules and shrinks the first failing one. */
export async function fuzz(options: FuzzOptions): Promise<FuzzReport> {
  const { seed, schedules, steps = productSteps, traceFolder } = options;
  const totals = { schedules: 0, commands: 0, faults: 0 };
  const property = fc.asyncProperty(
    fc.commands(fuzzCommands, { maxCommands: MAX_COMMANDS, size: 'max' }),
    fc.nat(1_000),
    async (commands, worldSeed) => {
      const result = await runSchedule(commands, worldSeed, steps);
      totals.schedules += 1;
      totals.commands += result.commands;
      totals.faults += result.faults;
      return result.violations.length === 0;
    },
  );
  const { counterexample } = await fc.check(property, { seed, numRuns: schedules });
  if (counterexample === null) {
    return totals;
  }
  const [commands, worldSeed] = counterexample;
  const { violations, traceText } = await runSchedule(commands, worldSeed, steps);
  const traceFile =
    traceFolder === undefined ? undefined : writeTrace(traceFolder, seed, traceText);
  const schedule = `world ${worldSeed}: ${[...commands].map(String).join('; ')}`;
  return { ...totals, failure: { commands: schedule, violations, traceFile } };
}

async function runSchedule(
  commands: Commands,
  worldSeed: number,
  steps: SimulatedSteps,
): Promise<ScheduleResult> {
  const oracle = new Oracle();
  const plan = { ...smallWorld, balancerZones: 1 + (worldSeed % 3) };
  const world = new World({ seed: worldSeed, plan, listener: oracle, steps });
  const faults = new ClusterFaults(world);
  const model: FuzzModel = { commands: 0 };
  await world.setUp();
  await fc.asyncModelRun(() => ({ model, real: { world, faults } }), commands);
  await world.run(FAULT_FREE_END_MS);
  world.recordFinalConfigs();
  const { trace, nowMs } = world.simulation;
  oracle.finish(nowMs);
  const { violations } = oracle;
  const header = { scenario: 'fuzz', seed: worldSeed, digest: trace.digest(), violations };
  const traceText = formatTrace(header, trace.events);
  return { violations, commands: model.commands, faults: faults.count, traceText };
}

function writeTrace(folder: string, seed: number, traceText: string): string {
  mkdirSync(folder, { recursive: true });
  const path = join(folder, `fuzz-${seed}.jsonl`);
  writeFileSync(path, traceText);
  return path;
}
