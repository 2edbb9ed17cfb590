/**
 * @file How long a commit takes at 1, 3 and 5 control machines, beside the bare costs in the same run,
 * and how many commits a second there are where many commands come at once.
 */
import type { OperatorCommand } from '../../managed/control/commands.js';
import { BareCosts } from './bare-costs.js';
import { BenchCluster, makeBenchFolder, removeBenchFolder } from './bench-control-cluster.js';

const WARM_UP_COMMITS = 200;
const GROUP_COMMIT_SECONDS = 2;
/** Commands that wait for an answer at any moment. */
const GROUP_COMMIT_CLIENTS = 64;
const MS_PER_SECOND = 1000;

const defineService: OperatorCommand = {
  type: 'define-service',
  service: 'authd',
  address: { host: '127.1.0.1', port: 7000 },
  policy: 'adaptive',
  limits: {},
};

/** Some times in milliseconds. */
export interface TimesMs {
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** The figures of one number of machines. */
export interface CommitFigures {
  readonly machines: number;
  readonly commits: number;
  /** From the proposal at the leader until it is committed and applied. */
  readonly commitMs: TimesMs;
  /** One synced write, and beyond one machine one round trip after it. */
  readonly bareMs: TimesMs;
  /**
   * The same where each machine writes at once to this one disk, until a majority has; what a commit of
   * machines that share a disk can not do without.
   */
  readonly sharedDiskMs: TimesMs;
  readonly p50Ratio: number;
  readonly p99Ratio: number;
  /** Commits a second with many commands at once. */
  readonly groupCommitsPerSecond: number;
  /** Commits a second with one command after another, in the same run. */
  readonly singleCommitsPerSecond: number;
}

/**
 * Measures one number of machines; bare costs and commits take turns, so that both meet the same disk.
 */
export async function measureCommits(machines: number, commits: number): Promise<CommitFigures> {
  const folder = await makeBenchFolder();
  const cluster = await BenchCluster.start(machines, folder);
  const bare = await BareCosts.start(folder, machines);
  try {
    await cluster.proposeSurely(defineService);
    for (let count = 0; count < WARM_UP_COMMITS; count += 1) {
      await timedCommit(cluster, count);
    }
    const times = await takeTurns(cluster, bare, machines, commits);
    const commitMs = summarize(times.commit);
    const bareMs = summarize(times.bare);
    const sharedDiskMs = summarize(times.sharedDisk);
    return {
      machines,
      commits,
      commitMs,
      bareMs,
      sharedDiskMs,
      p50Ratio: commitMs.p50 / bareMs.p50,
      p99Ratio: commitMs.p99 / bareMs.p99,
      groupCommitsPerSecond: await commitsPerSecond(cluster, GROUP_COMMIT_CLIENTS),
      singleCommitsPerSecond: await commitsPerSecond(cluster, 1),
    };
  } finally {
    await bare.stop();
    await cluster.stop();
    await removeBenchFolder(folder);
  }
}

/** Times of each kind, in milliseconds. */
interface Turns {
  readonly commit: number[];
  readonly bare: number[];
  readonly sharedDisk: number[];
}

/** One of each in turn, each alone, so that all meet the same disk and neither disturbs another. */
async function takeTurns(
  cluster: BenchCluster,
  bare: BareCosts,
  machines: number,
  commits: number,
): Promise<Turns> {
  const turns: Turns = { commit: [], bare: [], sharedDisk: [] };
  const tripMs = () => (machines === 1 ? Promise.resolve(0) : bare.roundTrip());
  for (let count = 0; count < commits; count += 1) {
    turns.bare.push((await tripMs()) + (await bare.syncedWrite()));
    turns.sharedDisk.push((await tripMs()) + (await bare.majorityOfWrites()));
    turns.commit.push(await timedCommit(cluster, count));
    await cluster.settle();
  }
  return turns;
}

async function timedCommit(cluster: BenchCluster, count: number): Promise<number> {
  const command = changeCommand(count);
  const startMs = performance.now();
  await cluster.proposeSurely(command);
  return performance.now() - startMs;
}

function changeCommand(count: number): OperatorCommand {
  const policy = count % 2 === 0 ? 'maglev' : 'adaptive';
  return { type: 'change-service', service: 'authd', policy };
}

async function commitsPerSecond(cluster: BenchCluster, clients: number): Promise<number> {
  const startMs = performance.now();
  const endMs = startMs + GROUP_COMMIT_SECONDS * MS_PER_SECOND;
  let count = 0;
  const client = async () => {
    while (performance.now() < endMs) {
      await cluster.proposeSurely(changeCommand(count));
      count += 1;
    }
  };
  await Promise.all(Array.from({ length: clients }, client));
  return (count * MS_PER_SECOND) / (performance.now() - startMs);
}

function summarize(times: readonly number[]): TimesMs {
  const sorted = [...times].sort((left, right) => left - right);
  const at = (part: number) => sorted[Math.ceil(sorted.length * part) - 1] ?? NaN;
  return { p50: at(0.5), p99: at(0.99), max: at(1) };
}
