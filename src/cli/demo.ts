/**
 * @file `amberlift demo`: runs the whole path on this machine.
 */
import type { CAC } from 'cac';
import { Presets, SingleBar } from 'cli-progress';
import Table from 'cli-table3';
import { runDemo, type DemoProgress, type DemoReport } from '../experiment/demo.js';
import { isUnharmed } from '../experiment/harm-summary.js';
import { exitCodes } from '../flow/error-kinds.js';

interface DemoFlags {
  readonly json?: boolean;
}

/**
 * Registers the subcommand.
 */
export function registerDemo(cli: CAC): void {
  cli
    .command('demo', 'Run callers, fabric, balancers, back ends and control on this machine')
    .option('--json', 'Print the figures as one line of JSON, last')
    .action(run);
}

async function run(flags: DemoFlags): Promise<void> {
  const report = await runDemo(terminalProgress());
  process.stdout.write(`\n${describe(report)}\n`);
  if (flags.json === true) {
    process.stdout.write(`${JSON.stringify(report)}\n`);
  }
  process.exitCode = isUnharmed(report) ? exitCodes.success : exitCodes.failure;
}

function describe(report: DemoReport): string {
  const table = new Table({ head: ['figure', 'value'] });
  for (const [figure, value] of Object.entries(report) as [string, number][]) {
    table.push([figure, Number.isInteger(value) ? value : value.toFixed(2)]);
  }
  return table.toString();
}

/** A progress bar on a terminal, lines elsewhere. */
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
