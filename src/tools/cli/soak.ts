/**
 * @file `amberlift soak`: runs real processes locally under injected faults and checks invariants as observed by
 * clients, back ends and the operator.
 */
import { join } from 'node:path';
import type { CAC } from 'cac';
import { exitCodes } from '../../shared/common/error-kinds.js';
import { runSoak, type SoakVerdict } from '../../proof/soak/run-soak.js';
import { smallSoak, type SoakDeployment } from '../../proof/soak/soak-world.js';
import { parseSwitches } from '../../registered/decisions/mechanism-switches.js';
import { reportError } from './daemon-command.js';

interface SoakFlags {
  readonly seed: number;
  readonly runs: number;
  readonly seconds: number;
  readonly balancers: number;
  readonly clients: number;
  readonly block: number;
  readonly into: string;
  readonly policy: string;
  readonly json?: boolean;
}

const MS_PER_SECOND = 1_000;

/** Registers the `soak` subcommand. */
export function registerSoak(cli: CAC): void {
  cli
    .command('soak', 'Run real processes under seeded random faults and check invariants')
    .option('--seed <n>', 'Seed of the first run; incremented for each further run', { default: 1 })
    .option('--runs <count>', 'Number of runs, one after the other', { default: 1 })
    .option('--seconds <count>', 'Duration of fault injection in each run', { default: 60 })
    .option('--balancers <count>', 'Number of balancer processes', {
      default: smallSoak.sizes.balancers,
    })
    .option('--clients <count>', 'Number of clients, each with one flow at a time', {
      default: smallSoak.sizes.clients,
    })
    .option(
      '--block <n>',
      'Second octet of the loopback addresses; use different ones for parallel runs',
      {
        default: smallSoak.block,
      },
    )
    .option('--into <folder>', 'Folder for logs, schedules and verdicts', { default: 'soak-runs' })
    .option('--policy <switches>', 'Switches of the balancers, such as peerFeed=on,urgency=on', {
      default: '',
    })
    .option('--json', 'Print the verdicts as one line of JSON, last')
    .example('amberlift soak --seed 7 --seconds 120')
    .action(run);
}

async function run(flags: SoakFlags): Promise<void> {
  const policy = parseSwitches(flags.policy);
  if (policy.isErr()) {
    reportError(policy.error);
    return;
  }
  const verdicts: SoakVerdict[] = [];
  for (let runIndex = 0; runIndex < flags.runs; runIndex += 1) {
    const seed = flags.seed + runIndex;
    const folder = join(flags.into, `seed-${seed}`);
    const durationMs = flags.seconds * MS_PER_SECOND;
    const verdict = await runSoak({
      seed,
      durationMs,
      folder,
      deployment: { ...soakPlaceFromFlags(flags), policy: policy.value },
    });
    verdicts.push(verdict);
    process.stdout.write(`${describe(verdict, folder)}\n`);
  }
  if (flags.json === true) {
    process.stdout.write(`${JSON.stringify(verdicts)}\n`);
  }
  process.exitCode = verdicts.every(isClean) ? exitCodes.success : exitCodes.failure;
}

function soakPlaceFromFlags({ balancers, clients, block }: SoakFlags): SoakDeployment {
  return { sizes: { ...smallSoak.sizes, balancers, clients }, block };
}

function isClean({ violations, unaskedEnds, servedRequests }: SoakVerdict): boolean {
  return violations.length === 0 && Object.keys(unaskedEnds).length === 0 && servedRequests > 0;
}

function describe(verdict: SoakVerdict, folder: string): string {
  const { seed, violations, servedRequests, failedRequests, faults, unaskedEnds } = verdict;
  const faultCounts = Object.entries(faults).map(([kind, count]) => `${kind} ${count}`);
  return [
    `Seed ${seed}: ${servedRequests} requests served, ${failedRequests} failed, ${violations.length} violations; see ${folder}.`,
    `  Faults: ${faultCounts.join(', ') || 'none'}.`,
    ...violations.map(
      ({ check, atMs, detail }) => `  ${check} at ${Math.round(atMs)} ms: ${detail}`,
    ),
    ...Object.entries(unaskedEnds).map(
      ([name, count]) => `  ${name} exited unexpectedly ${count} times.`,
    ),
  ].join('\n');
}
