/**
 * @file `amberlift simulate`: runs scenarios in the simulator and checks their invariants.
 */
import type { CAC } from 'cac';
import { Presets, SingleBar } from 'cli-progress';
import Table from 'cli-table3';
import { exitCodes } from '../../shared/common/error-kinds.js';
import { findScenario, longScenarios, scenarios } from '../../proof/sim-managed/scenarios/index.js';
import type { Scenario } from '../../proof/sim-managed/scenarios/scenario.js';
import {
  planRuns,
  simulate,
  type SimulationProgress,
  type SimulationReport,
} from '../../proof/sim-managed/simulate.js';
import { writeTraceFile } from '../../proof/sim-managed/violation-file.js';

interface SimulateFlags {
  readonly seed: number;
  readonly runs: number;
  readonly scenario: string;
  readonly jobs: number;
  readonly traces: string;
  readonly record?: boolean;
  readonly json?: boolean;
}

const ALL = 'all';
const MAX_TRACE_FILES = 3;

/** Registers the `simulate` subcommand. */
export function registerSimulate(cli: CAC): void {
  const names = [...scenarios, ...longScenarios].map(({ name }) => name).join(', ');
  cli
    .command('simulate', 'Run scenarios in the simulator and check invariants')
    .option('--seed <n>', 'Seed of the first run; incremented for each further run', { default: 1 })
    .option('--runs <count>', 'Number of runs', { default: 20 })
    .option('--scenario <name>', `One of ${names}, or all except the long ones`, { default: ALL })
    .option('--jobs <count>', 'Worker threads', { default: 3 })
    .option('--traces <folder>', 'Folder for traces of failed runs', { default: 'simulate-traces' })
    .option('--record', 'Always write the trace of the first run')
    .option('--json', 'Print the figures as one line of JSON, last')
    .action(run);
}

async function run(flags: SimulateFlags): Promise<void> {
  const selected = selectScenarios(flags.scenario);
  const requests = planRuns(selected, flags.runs, flags.seed);
  const report = await simulate(requests, flags.jobs, terminalProgress());
  process.stdout.write(`${describe(report)}\n`);
  await writeTraces(flags, report);
  if (flags.json === true) {
    process.stdout.write(`${JSON.stringify(report)}\n`);
  }
  process.exitCode = report.violations === 0 ? exitCodes.success : exitCodes.failure;
}

function selectScenarios(name: string): readonly Scenario[] {
  if (name === ALL) {
    return scenarios;
  }
  const found = findScenario(name);
  if (found === undefined) {
    throw new Error(`--scenario: unknown scenario ${name}.`);
  }
  return [found];
}

async function writeTraces(flags: SimulateFlags, report: SimulationReport): Promise<void> {
  const failed = report.failedRuns.slice(0, MAX_TRACE_FILES);
  const first = { scenario: selectScenarios(flags.scenario)[0]?.name ?? '', seed: flags.seed };
  for (const { scenario, seed } of flags.record === true ? [first, ...failed] : failed) {
    const found = findScenario(scenario);
    if (found !== undefined) {
      const path = await writeTraceFile(flags.traces, found, seed);
      process.stdout.write(`Trace of ${scenario} with seed ${seed}: ${path}\n`);
    }
  }
}

function describe(report: SimulationReport): string {
  const table = new Table({ head: ['figure', 'value'] });
  const { runs, faults, outcomes, virtualSeconds, wallSeconds, violations } = report;
  const figures = { runs, faults, outcomes, virtualSeconds, wallSeconds, violations };
  for (const [figure, value] of Object.entries(figures)) {
    table.push([figure, value]);
  }
  for (const [check, count] of Object.entries(report.violationsByCheck)) {
    table.push([`violations of ${check}`, count]);
  }
  const failed = report.failedRuns.flatMap(({ scenario, seed, violations: runViolations }) =>
    runViolations
      .slice(0, MAX_TRACE_FILES)
      .map(
        ({ check, atMs, text }) =>
          `${scenario} ${seed}: ${check} at ${Math.round(atMs)} ms: ${text}`,
      ),
  );
  return [table.toString(), ...failed].join('\n');
}

/** Shows a progress bar on a terminal and nothing otherwise. */
function terminalProgress(): SimulationProgress {
  if (!process.stderr.isTTY) {
    return () => undefined;
  }
  const bar = new SingleBar({ format: 'Runs {bar} {value}/{total}' }, Presets.legacy);
  let barStarted = false;
  return (done, total) => {
    if (!barStarted) {
      bar.start(total, 0);
      barStarted = true;
    }
    bar.update(done);
    if (done === total) {
      bar.stop();
    }
  };
}
