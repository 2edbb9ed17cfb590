/**
 * @file The entry of the `amberlift` command: one subcommand per file, parsed by cac.
 */
import { cac, type CAC } from 'cac';
import { exitCodes } from '../flow/error-kinds.js';

const ARGUMENTS_BEFORE_COMMAND = 2;

/** Registers one subcommand. */
type Register = (cli: CAC) => void;

/**
 * Loads one subcommand. Only the one that runs is loaded, so that a daemon does not hold the code of the
 * experiments in memory.
 */
type Load = () => Promise<Register>;

const subcommands: ReadonlyMap<string, Load> = new Map<string, Load>([
  ['balancer', async () => (await import('./balancer.js')).registerBalancer],
  ['control', async () => (await import('./control.js')).registerControl],
  ['ctl', async () => (await import('./ctl.js')).registerCtl],
  ['demo', async () => (await import('./demo.js')).registerDemo],
  ['fleet', async () => (await import('./fleet.js')).registerFleet],
  ['bench', async () => (await import('./bench.js')).registerBench],
  ['backend', async () => (await import('./backend.js')).registerBackend],
  ['fabric', async () => (await import('./fabric.js')).registerFabric],
  ['callers', async () => (await import('./callers.js')).registerCallers],
  ['simulate', async () => (await import('./simulate.js')).registerSimulate],
]);

/**
 * Runs the command line; sets the exit code.
 * @param argv as in `process.argv`
 */
export async function main(argv: readonly string[]): Promise<void> {
  const cli = cac('amberlift');
  for (const load of subcommandsFor(argv)) {
    (await load())(cli);
  }
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

/** The subcommand that is named; all of them for the help. */
function subcommandsFor(argv: readonly string[]): Load[] {
  const load = subcommands.get(argv[ARGUMENTS_BEFORE_COMMAND] ?? '');
  return load === undefined ? [...subcommands.values()] : [load];
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
