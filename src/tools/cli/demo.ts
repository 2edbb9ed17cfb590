/**
 * @file `amberlift demo`: runs callers, fabric, balancers, back ends and a control machine locally and prints the failure counts.
 */
import type { CAC } from 'cac';
import { Presets, SingleBar } from 'cli-progress';
import { runDemo, type DemoProgress } from '../../proof/demo/demo.js';
import { hasNoViolations } from '../../proof/demo/run-summary.js';
import { exitCodes } from '../../shared/common/error-kinds.js';
import { describeFigures } from './figures-table.js';

interface DemoFlags {
  readonly json?: boolean;
}

/** Registers the `demo` subcommand. */
export function registerDemo(cli: CAC): void {
  cli
    .command('demo', 'Run callers, fabric, balancers, back ends and control on this machine')
    .option('--json', 'Print the figures as one line of JSON, last')
    .action(run);
}

async function run(flags: DemoFlags): Promise<void> {
  const report = await runDemo(terminalProgress());
  process.stdout.write(`\n${describeFigures(report)}\n`);
  if (flags.json === true) {
    process.stdout.write(`${JSON.stringify(report)}\n`);
  }
  process.exitCode =
    hasNoViolations(report) && report.answered === report.requests
      ? exitCodes.success
      : exitCodes.failure;
}

/** Shows a progress bar on a terminal; otherwise prints progress messages. */
function terminalProgress(): DemoProgress {
  const bar = new SingleBar({ format: 'Requests {bar} {value}/{total}' }, Presets.legacy);
  let barStarted = false;
  return (message, done, total) => {
    if (message !== 'Requests') {
      process.stderr.write(`${message}\n`);
    } else if (process.stderr.isTTY) {
      if (!barStarted) {
        bar.start(total, 0);
        barStarted = true;
      }
      bar.update(done);
      if (done === total) {
        bar.stop();
      }
    }
  };
}
