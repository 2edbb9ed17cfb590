/**
 * @file `amberlift bench <name>`: runs a benchmark and prints its results.
 */
import { execFileSync } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import type { CAC } from 'cac';
import Table from 'cli-table3';
import type { Bench, BenchResult, BenchTable } from '../../proof/bench/bench.js';
import { forwardBench } from '../../proof/bench/bench-forward.js';
import { inForceBench } from '../../proof/bench/bench-in-force.js';
import { placementBench } from '../../proof/bench/bench-placement.js';
import { exitCodes } from '../../shared/common/error-kinds.js';

/** All benchmarks, in the order of the help text. */
const benches: readonly Bench[] = [placementBench, forwardBench, inForceBench];

const DEFAULT_SEED = 1;
const MAX_ROUNDS = 1_000;

interface BenchFlags {
  readonly json?: boolean;
  readonly rounds?: number;
  readonly seed?: number;
  readonly out?: string;
  readonly set?: string[];
}

/** Registers the `bench` subcommand. */
export function registerBench(cli: CAC): void {
  const names = benches.map(({ name, summary }) => `${name}: ${summary}`).join('; ');
  cli
    .command('bench <name>', `Run a benchmark (${names})`)
    .option('--json', 'Print the figures as one line of JSON, last')
    .option('--rounds <count>', 'Number of rounds; each figure is their median')
    .option('--seed <number>', 'Random seed', { default: DEFAULT_SEED })
    .option('--out <file>', 'Write the figures to this file, with command and commit')
    .option('--set <name=value>', 'Set an option of the benchmark; may be repeated', {
      type: [String],
    })
    .action(run);
}

async function run(name: string, flags: BenchFlags): Promise<void> {
  const bench = benches.find((candidate) => candidate.name === name);
  if (bench === undefined) {
    const benchNames = benches.map((candidate) => candidate.name).join(', ');
    throw new RangeError(`unknown benchmark ${name}; available: ${benchNames}.`);
  }
  const commit = currentCommit();
  const result = await bench.run({
    rounds: optionalRounds(flags.rounds),
    seed: integerSeed(flags.seed ?? DEFAULT_SEED),
    settings: parseSettings(flags.set ?? []),
    progress: (message) => process.stderr.write(`${message}\n`),
  });
  process.stdout.write(`${describe(result.table)}\n`);
  result.missed.forEach((target) => process.stdout.write(`Target missed: ${target}\n`));
  if (flags.out !== undefined) {
    writeFileSync(
      flags.out,
      `${JSON.stringify(withProvenance(name, commit, result), undefined, 2)}\n`,
    );
  }
  if (flags.json === true) {
    process.stdout.write(`${JSON.stringify(result.figures)}\n`);
  }
  process.exitCode = result.missed.length === 0 ? exitCodes.success : exitCodes.failure;
}

function optionalRounds(value: number | undefined): number | undefined {
  if (value !== undefined && !(Number.isInteger(value) && value >= 1 && value <= MAX_ROUNDS)) {
    throw new RangeError(`--rounds must be an integer from 1 to ${MAX_ROUNDS}.`);
  }
  return value;
}

function integerSeed(value: number): number {
  if (!Number.isInteger(value)) {
    throw new RangeError('--seed must be an integer.');
  }
  return value;
}

function parseSettings(texts: readonly string[]): Map<string, string> {
  const settings = new Map<string, string>();
  for (const text of texts.filter((value) => value !== 'undefined')) {
    const separator = text.indexOf('=');
    if (separator < 1) {
      throw new RangeError(`--set ${text}: expected name=value.`);
    }
    settings.set(text.slice(0, separator), text.slice(separator + 1));
  }
  return settings;
}

function describe(content: BenchTable): string {
  const table = new Table({ head: [...content.head] });
  content.rows.forEach((row) => table.push([...row]));
  return table.toString();
}

/** Adds the command line and the commit that was checked out at the start of the run. */
function withProvenance(name: string, commit: string, result: BenchResult): object {
  const flags = process.argv.slice(process.argv.indexOf(name) + 1).join(' ');
  return {
    command: `amberlift bench ${name} ${flags}`.trim(),
    commit,
    missed: result.missed,
    figures: result.figures,
  };
}

/** @returns the checked-out commit, or `unknown` outside a repository */
function currentCommit(): string {
  try {
    return execFileSync('git', ['rev-parse', 'HEAD'], { encoding: 'utf8' }).trim();
  } catch {
    // Results are still written without git or outside a repository.
    return 'unknown';
  }
}
