/**
 * @file Entry point of the `amberlift` command. Dispatches to one module per subcommand and sets the exit code of usage
 * errors; subcommands set the others (listed in docs/SETTINGS.md).
 */
import { cac, type CAC } from 'cac';
import { exitCodes } from '../../shared/common/error-kinds.js';

const ARGUMENTS_BEFORE_COMMAND = 2;

type Register = (cli: CAC) => void;

/** A subcommand, loaded on demand so that a daemon does not load the code of the others. */
interface Subcommand {
  readonly name: string;
  load(): Promise<Register>;
}

const subcommands: readonly Subcommand[] = [
  { name: 'balancer', load: async () => (await import('./balancer.js')).registerBalancer },
  { name: 'control', load: async () => (await import('./control.js')).registerControl },
  { name: 'ingress', load: async () => (await import('./ingress.js')).registerIngress },
  { name: 'group', load: async () => (await import('./group.js')).registerGroup },
  { name: 'ctl', load: async () => (await import('./ctl.js')).registerCtl },
  { name: 'demo', load: async () => (await import('./demo.js')).registerDemo },
  { name: 'bench', load: async () => (await import('./bench.js')).registerBench },
  { name: 'check', load: async () => (await import('./check.js')).registerCheck },
  { name: 'plan', load: async () => (await import('./plan.js')).registerPlan },
  { name: 'backend', load: async () => (await import('./backend.js')).registerBackend },
  { name: 'fabric', load: async () => (await import('./fabric.js')).registerFabric },
  { name: 'callers', load: async () => (await import('./callers.js')).registerCallers },
  { name: 'simulate', load: async () => (await import('./simulate.js')).registerSimulate },
  { name: 'explain', load: async () => (await import('./explain.js')).registerExplain },
  { name: 'soak', load: async () => (await import('./soak.js')).registerSoak },
  { name: 'timeline', load: async () => (await import('./timeline.js')).registerTimeline },
  { name: 'replay', load: async () => (await import('./replay.js')).registerReplay },
];

/**
 * Parses the command line, runs the subcommand and sets the exit code.
 * @param argv as in `process.argv`
 */
export async function main(argv: readonly string[]): Promise<void> {
  const cli = cac('amberlift');
  const requested = subcommands.filter(({ name }) => name === argv[ARGUMENTS_BEFORE_COMMAND]);
  const registers = await Promise.all(
    (requested.length > 0 ? requested : subcommands).map((subcommand) => subcommand.load()),
  );
  registers.forEach((register) => register(cli));
  cli.help();
  try {
    cli.parse([...argv], { run: false });
    if (cli.matchedCommand === undefined) {
      printUsageUnlessHelp(cli, argv);
      return;
    }
    await cli.runMatchedCommand();
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    process.stderr.write(`amberlift: ${message}\n`);
    process.exitCode = exitCodes.usage;
  }
}

function printUsageUnlessHelp(cli: CAC, argv: readonly string[]): void {
  const first = argv[ARGUMENTS_BEFORE_COMMAND];
  if (cli.options.help === true) {
    return;
  }
  if (first !== undefined) {
    process.stderr.write(`amberlift: unknown subcommand ${first}.\n`);
  }
  cli.outputHelp();
  process.exitCode = exitCodes.usage;
}
