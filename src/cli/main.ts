/**
 * @file The entry of the `amberlift` command: one subcommand per file, parsed by cac.
 */
import { cac, type CAC } from 'cac';
import { exitCodes } from '../flow/error-kinds.js';
import { registerBackend } from './backend.js';
import { registerBalancer } from './balancer.js';
import { registerBench } from './bench.js';
import { registerCallers } from './callers.js';
import { registerCheck } from './check.js';
import { registerControl } from './control.js';
import { registerCtl } from './ctl.js';
import { registerDemo } from './demo.js';
import { registerFabric } from './fabric.js';
import { registerFleet } from './fleet.js';
import { registerPlan } from './plan.js';
import { registerSimulate } from './simulate.js';

const ARGUMENTS_BEFORE_COMMAND = 2;

/** Registers one subcommand. */
type Register = (cli: CAC) => void;

const subcommands: readonly Register[] = [
  registerBalancer,
  registerControl,
  registerCtl,
  registerDemo,
  registerFleet,
  registerBench,
  registerCheck,
  registerPlan,
  registerBackend,
  registerFabric,
  registerCallers,
  registerSimulate,
];

/**
 * Runs the command line; sets the exit code.
 * @param argv as in `process.argv`
 */
export async function main(argv: readonly string[]): Promise<void> {
  const cli = cac('amberlift');
  subcommands.forEach((register) => register(cli));
  cli.help();
  try {
    cli.parse([...argv], { run: false });
    if (cli.matchedCommand === undefined) {
      refuseUnlessHelp(cli, argv);
      return;
    }
    await cli.runMatchedCommand();
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    process.stderr.write(`amberlift: ${message}\n`);
    process.exitCode = exitCodes.usage;
  }
}

function refuseUnlessHelp(cli: CAC, argv: readonly string[]): void {
  const first = argv[ARGUMENTS_BEFORE_COMMAND];
  if (first === '--help' || first === '-h') {
    return;
  }
  if (first !== undefined) {
    process.stderr.write(`amberlift: there is no subcommand ${first}.\n`);
  }
  cli.outputHelp();
  process.exitCode = exitCodes.usage;
}
