/**
 * @file The demo: callers, fabric, two balancers, back ends and one control machine as separate
 * processes on loopback; a bounded load with feeds, during which one balancer is killed and one back
 * end is drained by an operator.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Address } from '../common/address.js';
import { formatAddress } from '../common/address.js';
import type { RequestOutcome } from '../standins/caller-state.js';
import type { NoticeSummary } from '../standins/notice-summary.js';
import { runToEnd, type ManagedProcess } from './child-process.js';
import {
  accepted,
  addressAt,
  DEMO_SERVICES,
  listBalancers,
  startCluster,
  type DemoCluster,
  type DemoProgress,
} from './demo-cluster.js';
import { collectRuns, connectionImbalance } from './demo-inspection.js';
import { summarizeHarm, type HarmSummary, type RunRecord } from './harm-summary.js';
import { NoticePublisher } from './notice-publisher.js';

export type { DemoProgress } from './demo-cluster.js';

const SESSIONS_PER_SERVICE = 60;
const REQUESTS_PER_SESSION = 20;
/** Sessions of each service that also hold a feed. */
const FEEDS_PER_SERVICE = 20;
const NOTICES_PER_SERVICE = 100;
const NOTICE_INTERVAL_MS = 50;
const MILLISECONDS_PER_SECOND = 1000;

/** The figures of a run. */
export interface DemoReport extends HarmSummary {
  readonly peakOverMeanConnections: number;
  readonly seconds: number;
}

/**
 * Runs the demo; every process that it started has ended when it returns.
 */
export async function runDemo(progress: DemoProgress): Promise<DemoReport> {
  const dataFolder = await mkdtemp(join(tmpdir(), 'amberlift-demo-'));
  const processes: ManagedProcess[] = [];
  const startedAt = performance.now();
  try {
    const cluster = await startCluster(processes, dataFolder, progress);
    return await runLoad(cluster, startedAt, progress);
  } finally {
    await stopAll(processes);
    await rm(dataFolder, { recursive: true });
  }
}

async function runLoad(
  cluster: DemoCluster,
  startedAt: number,
  progress: DemoProgress,
): Promise<DemoReport> {
  const total = DEMO_SERVICES.length * SESSIONS_PER_SERVICE * REQUESTS_PER_SESSION;
  const record: RunRecord = {
    requests: total,
    outcomes: [],
    brokenFlows: 0,
    wrongAnswers: 0,
    noticesDelivered: 0,
    noticesLost: 0,
    noticesDoubled: 0,
  };
  let eventsDone = false;
  const onLine = (line: string): void => {
    takeCallerLine(record, line);
    const { length } = record.outcomes;
    progress('Requests', length, total);
    if (length > total / 4) {
      imbalance ??= connectionImbalance(cluster);
    }
    if (!eventsDone && length > total / 2) {
      eventsDone = true;
      events = disturb(cluster, progress);
    }
  };
  let events: Promise<void> = Promise.resolve();
  let imbalance: Promise<number> | undefined;
  const callers = DEMO_SERVICES.map((service, position) =>
    runToEnd(callerArgs(service, position, addressAt(cluster.serviceAddresses, position)), onLine),
  );
  const publishing = DEMO_SERVICES.map((service) => publishNotices(cluster, service));
  await Promise.all([...callers, ...publishing]);
  await events;
  const harm = summarizeHarm(record, await collectRuns(cluster));
  const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
  const peakOverMeanConnections = (await imbalance) ?? Number.NaN;
  return { ...harm, peakOverMeanConnections, seconds };
}

function callerArgs(service: string, position: number, address: Address): string[] {
  return [
    'callers',
    ...['--service', service, '--service-address', formatAddress(address)],
    ...['--sessions', String(SESSIONS_PER_SERVICE), '--requests', String(REQUESTS_PER_SESSION)],
    ...['--feeds', String(FEEDS_PER_SERVICE), '--notices', String(NOTICES_PER_SERVICE)],
    ...['--first-number', String(position * SESSIONS_PER_SERVICE * REQUESTS_PER_SESSION)],
  ];
}

function takeCallerLine(record: RunRecord, line: string): void {
  const event = JSON.parse(line) as
    | { event: 'outcome'; outcome: RequestOutcome }
    | ({ event: 'finished'; brokenFlows: number; wrongAnswers: number } & NoticeSummary);
  if (event.event === 'outcome') {
    record.outcomes.push(event.outcome);
  } else {
    record.brokenFlows += event.brokenFlows;
    record.wrongAnswers += event.wrongAnswers;
    record.noticesDelivered += event.noticesDelivered;
    record.noticesLost += event.noticesLost;
    record.noticesDoubled += event.noticesDoubled;
  }
}

/** Notices come evenly while the load runs, the balancer dies and the back end drains. */
async function publishNotices(cluster: DemoCluster, service: string): Promise<void> {
  const members = cluster.backends.filter((backend) => backend.service === service);
  const publisher = new NoticePublisher(members.map((backend) => backend.healthAddress));
  for (let number = 1; number <= NOTICES_PER_SERVICE; number += 1) {
    await publisher.publish(`Notice ${number} of ${service}`);
    await sleep(NOTICE_INTERVAL_MS);
  }
}

/** Half way: one balancer is killed and one back end is drained by an operator. */
async function disturb(cluster: DemoCluster, progress: DemoProgress): Promise<void> {
  const killed = cluster.balancers.shift();
  killed?.signal('SIGKILL');
  progress(`Killed ${killed?.name ?? 'nothing'}.`, 0, 1);
  const drained = cluster.backends[0];
  await accepted(cluster.client, 'drain-first', {
    type: 'drain-backend',
    backendId: drained?.id ?? 0,
  });
  progress(`Drained ${drained?.process.name ?? 'nothing'}.`, 0, 1);
  await listBalancers(cluster);
}

async function stopAll(processes: readonly ManagedProcess[]): Promise<void> {
  processes.forEach((started) => started.signal('SIGTERM'));
  await Promise.all(processes.map((started) => started.exited));
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
