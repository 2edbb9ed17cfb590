/**
 * @file `amberlift fleet`: runs a deployment under a scenario on this machine.
 */
import { writeFile } from 'node:fs/promises';
import type { CAC } from 'cac';
import { isUnharmed } from '../../proof/experiment/harm-summary.js';
import { loadDeployment } from '../../proof/experiment/deployment.js';
import { runFleet, type FleetFigures } from '../../proof/experiment/fleet.js';
import { loadScenario, stretchScenario } from '../../proof/experiment/scenario.js';
import { exitCodes } from '../../shared/common/error-kinds.js';
import { reportError } from './daemon-command.js';
import { describeFigures } from './figures-table.js';

interface FleetFlags {
  readonly deployment: string;
  readonly scenario: string;
  readonly seconds?: number;
  readonly seed: number;
  readonly output?: string;
  readonly json?: boolean;
}

/**
 * Registers the subcommand.
 */
export function registerFleet(cli: CAC): void {
  cli
    .command('fleet', 'Run a whole deployment under a scenario on this machine')
    .option(
      '--deployment <folder>',
      'Folder with deployment.yaml, balancer.yaml and control.yaml',
      {
        default: 'examples/tarjeta-viva',
      },
    )
    .option('--scenario <file>', 'Scenario file (YAML)', {
      default: 'examples/scenarios/planned-changes.yaml',
    })
    .option('--seconds <count>', 'Stretch or shrink the scenario to this length')
    .option('--seed <number>', 'Seed of the random faults', { default: 1 })
    .option('--output <file>', 'Keep figures and timeline in this file')
    .option('--json', 'Print the figures as one line of JSON, last')
    .action(run);
}

async function run(flags: FleetFlags): Promise<void> {
  const loaded = loadDeployment(flags.deployment);
  const scenario = loadScenario(flags.scenario);
  if (loaded.isErr() || scenario.isErr()) {
    reportError(loaded.isErr() ? loaded.error : scenario._unsafeUnwrapErr());
    return;
  }
  const { seed, seconds } = flags;
  const result = await runFleet({
    ...loaded.value,
    scenario: seconds === undefined ? scenario.value : stretchScenario(scenario.value, seconds),
    seed,
    onProgress: (text) => process.stderr.write(`${text}\n`),
  });
  if (flags.output !== undefined) {
    await writeFile(flags.output, `${JSON.stringify(result)}\n`);
  }
  process.stdout.write(`${describeFigures(result.figures)}\n`);
  if (flags.json === true) {
    process.stdout.write(`${JSON.stringify(result.figures)}\n`);
  }
  process.exitCode = isGood(result.figures) ? exitCodes.success : exitCodes.failure;
}

function isGood(figures: FleetFigures): boolean {
  return (
    isUnharmed(figures) &&
    figures.failedEvents.length === 0 &&
    figures.changesReverted === 0 &&
    figures.changesLate === 0
  );
}
