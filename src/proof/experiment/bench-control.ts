/**
 * @file `amberlift bench control`: commit latency at 1, 3 and 5 control machines beside the bare costs,
 * commits a second, the restart after many changes, and how long no command is taken after a leader is killed.
 */
import { refuseUnknownSettings, type Bench, type BenchOptions } from './bench.js';
import { measureCommits, type CommitFigures } from './bench-control-commit.js';
import { measureFailover, type FailoverFigures } from './bench-control-failover.js';
import { measureRestart, type RestartFigures } from './bench-control-restart.js';

const MACHINES = [1, 3, 5];
const DEFAULT_COMMITS = 2_000;
const DEFAULT_RESTART_CHANGES = 10_000;
const DEFAULT_KILLS = 5;
const MAX_P99_RATIO = 1.5;
const MAX_RESTART_MS = 1_000;
const DIGITS = 2;

/** Measures the control machines. */
export const controlBench: Bench = {
  name: 'control',
  summary:
    'commit latency at 1, 3 and 5 control machines, restart after 10,000 changes, and killed leaders',
  run: async (options) => {
    refuseUnknownSettings(options, ['commits', 'changes', 'kills']);
    const commits: CommitFigures[] = [];
    for (const machines of MACHINES) {
      options.progress(`Commits at ${machines} control machines.`);
      commits.push(await measureCommits(machines, setting(options, 'commits', DEFAULT_COMMITS)));
    }
    options.progress('Restart.');
    const restart = await measureRestart(setting(options, 'changes', DEFAULT_RESTART_CHANGES));
    options.progress('Killed leaders.');
    const failover = await measureFailover(setting(options, 'kills', DEFAULT_KILLS));
    return {
      figures: { commits, restart, failover },
      table: {
        head: [
          'control machines',
          'commit p50',
          'p99',
          'bare p50',
          'p99',
          'p99 ratio',
          'shared disk p99',
          'commits/s',
        ],
        rows: commits.map((figures) => [
          figures.machines,
          ms(figures.commitMs.p50),
          ms(figures.commitMs.p99),
          ms(figures.bareMs.p50),
          ms(figures.bareMs.p99),
          figures.p99Ratio.toFixed(DIGITS),
          ms(figures.sharedDiskMs.p99),
          figures.groupCommitsPerSecond.toFixed(0),
        ]),
      },
      missed: missedTargets(commits, restart, failover),
    };
  },
};

function missedTargets(
  commits: readonly CommitFigures[],
  restart: RestartFigures,
  failover: FailoverFigures,
): string[] {
  const slow = commits
    .filter(({ p99Ratio }) => p99Ratio > MAX_P99_RATIO)
    .map(
      ({ machines, p99Ratio }) =>
        `commit p99 at ${machines} machines is ${p99Ratio.toFixed(DIGITS)} times the bare one, not ${MAX_P99_RATIO}`,
    );
  const { changes, processReadyMs, isWhole } = restart;
  return [
    ...slow,
    ...(processReadyMs > MAX_RESTART_MS
      ? [`restart after ${changes} changes took ${ms(processReadyMs)}, not ${MAX_RESTART_MS} ms`]
      : []),
    ...(failover.isWhole ? [] : ['something accepted was lost with a killed leader']),
    ...(isWhole ? [] : ['the restarted machine lacks something that was accepted']),
  ];
}

function setting(options: BenchOptions, name: string, otherwise: number): number {
  const value = Number(options.settings.get(name) ?? otherwise);
  if (!Number.isInteger(value) || value < 1) {
    throw new RangeError(`The setting ${name} is a whole number from 1.`);
  }
  return value;
}

function ms(value: number): string {
  return `${value.toFixed(DIGITS)} ms`;
}
