/**
 * @file `amberlift bench in-force`: measures the time from acceptance of a configuration change until
 * the leader reports it in force on all balancers, with real processes on loopback.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { OperatorCommand } from '../../managed/control/commands.js';
import { rejectUnknownSettings, type Bench, type BenchResult } from './bench.js';
import { InForceCluster, readProcessUsage, type ProcessUsage } from './in-force-cluster.js';

const DEFAULT_SIZES = '3,10,30';
const DEFAULT_CHANGES = 100;
const BACKENDS = 26;
const PAUSE_BETWEEN_CHANGES_MS = 20;
const IN_FORCE_TIMEOUT_MS = 20_000;
const IDLE_MS = 3_000;
/** Highest acceptable p99 at the largest balancer count. */
const TARGET_P99_MS = 1_000;
const BYTES_PER_MB = 1_000_000;
const PERCENT = 100;

/** Figures for one balancer count. */
interface InForceFigures {
  readonly balancers: number;
  readonly controls: number;
  readonly changes: number;
  /** From sending the command until the reply that accepts it. */
  readonly acceptedP50Ms: number;
  readonly acceptedP99Ms: number;
  /** From acceptance until the leader reports the change in force on all balancers. */
  readonly inForceP50Ms: number;
  readonly inForceP99Ms: number;
  readonly inForceMaxMs: number;
  /** Mean per process, without load. */
  readonly balancerIdleCorePercent: number;
  readonly balancerResidentMb: number;
  readonly controlIdleCorePercent: number;
  readonly controlResidentMb: number;
}

/** Measures the propagation time of configuration changes and the idle cost of the processes. */
export const inForceBench: Bench = {
  name: 'in-force',
  summary: 'time from acceptance of a change until it is in force on all balancers',
  run: async (options) => {
    rejectUnknownSettings(options, ['balancers', 'changes']);
    const sizes = (options.settings.get('balancers') ?? DEFAULT_SIZES).split(',').map(Number);
    const changes = Number(options.settings.get('changes') ?? DEFAULT_CHANGES);
    if (![...sizes, changes].every((count) => Number.isInteger(count) && count > 0)) {
      throw new RangeError(
        'The setting balancers must be a list of positive integers such as 3,10, and changes a positive integer.',
      );
    }
    const figures: InForceFigures[] = [];
    for (const size of sizes) {
      options.progress(`Measuring ${size} balancers with 3 control machines.`);
      figures.push(await measureCluster(size, changes));
    }
    return summarize(figures);
  },
};

async function measureCluster(balancers: number, changes: number): Promise<InForceFigures> {
  const cluster = new InForceCluster();
  try {
    await cluster.start(balancers);
    const backendId = await addServiceWithBackends(cluster);
    const idle = await measureIdle(cluster);
    const accepted: number[] = [];
    const inForce: number[] = [];
    for (let number = 0; number < changes; number += 1) {
      const type = number % 2 === 0 ? 'drain-backend' : 'cancel-drain';
      const sentAtMs = performance.now();
      const revision = await sendForRevision(cluster, `change-${number}`, { type, backendId });
      const acceptedAtMs = performance.now();
      await waitUntilInForce(cluster, revision, balancers);
      accepted.push(acceptedAtMs - sentAtMs);
      inForce.push(performance.now() - acceptedAtMs);
      await sleep(PAUSE_BETWEEN_CHANGES_MS);
    }
    return {
      balancers,
      controls: cluster.controls.length,
      changes,
      acceptedP50Ms: quantile(accepted, 0.5),
      acceptedP99Ms: quantile(accepted, 0.99),
      inForceP50Ms: quantile(inForce, 0.5),
      inForceP99Ms: quantile(inForce, 0.99),
      inForceMaxMs: Math.max(...inForce),
      ...idle,
    };
  } finally {
    await cluster.stop();
  }
}

async function addServiceWithBackends(cluster: InForceCluster): Promise<number> {
  await sendForRevision(cluster, 'define', {
    type: 'define-service',
    service: 'authd',
    address: { host: '127.1.0.1', port: 443 },
    policy: 'adaptive',
    limits: {},
  });
  let lastId = 0;
  for (let number = 1; number <= BACKENDS; number += 1) {
    const address = { host: `127.1.1.${number}`, port: 9_000 };
    const healthAddress = { ...address, port: 9_001 };
    const zone = 'zone-a';
    const command = {
      type: 'add-backend',
      service: 'authd',
      address,
      healthAddress,
      zone,
    } as const;
    lastId = (await sendForOutcome(cluster, `add-${number}`, command)).backendId ?? 0;
  }
  return lastId;
}

async function sendForOutcome(
  cluster: InForceCluster,
  commandId: string,
  command: OperatorCommand,
) {
  const result = await cluster.client.send(commandId, command);
  if (result.isErr()) {
    throw new Error(`Command ${commandId} failed: ${result.error.message}`);
  }
  return result.value;
}

async function sendForRevision(
  cluster: InForceCluster,
  commandId: string,
  command: OperatorCommand,
): Promise<number> {
  return (await sendForOutcome(cluster, commandId, command)).revision;
}

async function waitUntilInForce(
  cluster: InForceCluster,
  revision: number,
  balancers: number,
): Promise<void> {
  const deadlineMs = performance.now() + IN_FORCE_TIMEOUT_MS;
  for (;;) {
    const summary = await cluster.queryInForce();
    const reportedBalancers = summary?.balancerCount ?? 0;
    if (reportedBalancers >= balancers && (summary?.revisionInForceEverywhere ?? 0) >= revision) {
      return;
    }
    if (performance.now() > deadlineMs) {
      const lagging = summary?.lagging.length ?? 0;
      throw new Error(
        `Timed out: ${lagging} balancers lag behind revision ${revision}; the leader reports ${reportedBalancers} balancers.`,
      );
    }
  }
}

async function measureIdle(cluster: InForceCluster) {
  const pids = (role: 'balancers' | 'controls') => cluster[role].map(({ pid }) => pid);
  const usagesBefore = await readUsages([...pids('balancers'), ...pids('controls')]);
  await sleep(IDLE_MS);
  const usagesAfter = await readUsages([...usagesBefore.keys()]);
  const corePercent = (pid: number) =>
    ((usagesAfter.get(pid)?.processorSeconds ?? 0) -
      (usagesBefore.get(pid)?.processorSeconds ?? 0)) *
    ((PERCENT * 1_000) / IDLE_MS);
  const residentMb = (pid: number) => (usagesAfter.get(pid)?.residentBytes ?? 0) / BYTES_PER_MB;
  return {
    balancerIdleCorePercent: mean(pids('balancers').map(corePercent)),
    balancerResidentMb: mean(pids('balancers').map(residentMb)),
    controlIdleCorePercent: mean(pids('controls').map(corePercent)),
    controlResidentMb: mean(pids('controls').map(residentMb)),
  };
}

async function readUsages(pids: readonly number[]): Promise<Map<number, ProcessUsage>> {
  const entries = pids.map(async (pid) => [pid, await readProcessUsage(pid)] as const);
  return new Map(await Promise.all(entries));
}

function summarize(figures: readonly InForceFigures[]): BenchResult {
  const largest = figures.at(-1);
  const isTargetMissed = largest !== undefined && largest.inForceP99Ms > TARGET_P99_MS;
  return {
    figures: { sizes: figures },
    table: {
      head: ['figure', ...figures.map(({ balancers }) => `${balancers} balancers`)],
      rows: Object.keys(largest ?? {}).map((name) => [
        name,
        ...figures.map((figure) => Number(figure[name as keyof InForceFigures].toFixed(2))),
      ]),
    },
    missed: isTargetMissed ? [`p99 of accepted to in force: at most ${TARGET_P99_MS} ms.`] : [],
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
}
