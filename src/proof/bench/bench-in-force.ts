/**
 * @file `amberlift bench in-force`: the time from an accepted change until the leader knows that all
 * balancers have it in force, with real processes on loopback.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { OperatorCommand } from '../../managed/control/commands.js';
import { refuseUnknownSettings, type Bench, type BenchResult } from './bench.js';
import { InForceCluster, usageOf, type ProcessUsage } from './in-force-cluster.js';

const DEFAULT_SIZES = '3,10,30';
const DEFAULT_CHANGES = 100;
const BACKENDS = 26;
const PAUSE_BETWEEN_CHANGES_MS = 20;
const IN_FORCE_TIMEOUT_MS = 20_000;
const IDLE_MS = 3_000;
/** What p99 should stay under with 30 balancers. */
const TARGET_P99_MS = 1_000;
const BYTES_PER_MB = 1_000_000;
const PERCENT = 100;

/** The figures at one number of balancers; times in milliseconds. */
interface InForceFigures {
  readonly balancers: number;
  readonly controls: number;
  readonly changes: number;
  /** From sending the command until it was answered as accepted. */
  readonly acceptedP50Ms: number;
  readonly acceptedP99Ms: number;
  /** From accepted until the leader knows that all balancers have it in force. */
  readonly inForceP50Ms: number;
  readonly inForceP99Ms: number;
  readonly inForceMaxMs: number;
  /** Per process, without load. */
  readonly balancerIdleCorePercent: number;
  readonly balancerResidentMb: number;
  readonly controlIdleCorePercent: number;
  readonly controlResidentMb: number;
}

/** The bench. */
export const inForceBench: Bench = {
  name: 'in-force',
  summary: 'accepted to in force on all balancers, with real processes',
  run: async (options) => {
    refuseUnknownSettings(options, ['balancers', 'changes']);
    const sizes = (options.settings.get('balancers') ?? DEFAULT_SIZES).split(',').map(Number);
    const changes = Number(options.settings.get('changes') ?? DEFAULT_CHANGES);
    if (![...sizes, changes].every((count) => Number.isInteger(count) && count > 0)) {
      throw new RangeError('balancers is a list such as 3,10; changes a whole number.');
    }
    const figures: InForceFigures[] = [];
    for (const size of sizes) {
      options.progress(`${size} balancers and 3 control machines.`);
      figures.push(await measureCluster(size, changes));
    }
    return summarize(figures);
  },
};

async function measureCluster(balancers: number, changes: number): Promise<InForceFigures> {
  const cluster = new InForceCluster();
  try {
    await cluster.start(balancers);
    const backendId = await defineServices(cluster);
    const idle = await measureIdle(cluster);
    const accepted: number[] = [];
    const inForce: number[] = [];
    for (let number = 0; number < changes; number += 1) {
      const type = number % 2 === 0 ? 'drain-backend' : 'cancel-drain';
      const sentAtMs = performance.now();
      const revision = await send(cluster, `change-${number}`, { type, backendId });
      const acceptedAtMs = performance.now();
      await untilInForce(cluster, revision, balancers);
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

async function defineServices(cluster: InForceCluster): Promise<number> {
  await send(cluster, 'define', {
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
    throw new Error(`${commandId} was refused: ${result.error.message}`);
  }
  return result.value;
}

async function send(
  cluster: InForceCluster,
  commandId: string,
  command: OperatorCommand,
): Promise<number> {
  return (await sendForOutcome(cluster, commandId, command)).revision;
}

async function untilInForce(
  cluster: InForceCluster,
  revision: number,
  balancers: number,
): Promise<void> {
  const endsAtMs = performance.now() + IN_FORCE_TIMEOUT_MS;
  for (;;) {
    const shown = await cluster.inForce();
    const known = shown?.balancerCount ?? 0;
    if (known >= balancers && (shown?.revisionInForceEverywhere ?? 0) >= revision) {
      return;
    }
    if (performance.now() > endsAtMs) {
      const lagging = shown?.lagging.length ?? 0;
      throw new Error(`${lagging} balancers lack revision ${revision} of ${known} known ones.`);
    }
  }
}

async function measureIdle(cluster: InForceCluster) {
  const pids = (of: 'balancers' | 'controls') => cluster[of].map(({ pid }) => pid);
  const before = await usages([...pids('balancers'), ...pids('controls')]);
  await sleep(IDLE_MS);
  const after = await usages([...before.keys()]);
  const core = (pid: number) =>
    ((after.get(pid)?.processorSeconds ?? 0) - (before.get(pid)?.processorSeconds ?? 0)) *
    ((PERCENT * 1_000) / IDLE_MS);
  const resident = (pid: number) => (after.get(pid)?.residentBytes ?? 0) / BYTES_PER_MB;
  return {
    balancerIdleCorePercent: mean(pids('balancers').map(core)),
    balancerResidentMb: mean(pids('balancers').map(resident)),
    controlIdleCorePercent: mean(pids('controls').map(core)),
    controlResidentMb: mean(pids('controls').map(resident)),
  };
}

async function usages(pids: readonly number[]): Promise<Map<number, ProcessUsage>> {
  const entries = pids.map(async (pid) => [pid, await usageOf(pid)] as const);
  return new Map(await Promise.all(entries));
}

function summarize(figures: readonly InForceFigures[]): BenchResult {
  const largest = figures.at(-1);
  const isMissed = largest !== undefined && largest.inForceP99Ms > TARGET_P99_MS;
  return {
    figures: { sizes: figures },
    table: {
      head: ['figure', ...figures.map(({ balancers }) => `${balancers} balancers`)],
      rows: Object.keys(largest ?? {}).map((name) => [
        name,
        ...figures.map((one) => Number(one[name as keyof InForceFigures].toFixed(2))),
      ]),
    },
    missed: isMissed ? [`p99 of accepted to in force: at most ${TARGET_P99_MS} ms.`] : [],
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function quantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}
