/**
 * @file The demo: callers, fabric, two balancers, back ends and one control machine as separate
 * processes on loopback; a bounded load, during which one balancer is killed and one back end is
 * drained by an operator.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { OperatorClient } from '../client/operator-client.js';
import type { Address } from '../common/address.js';
import { formatAddress } from '../common/address.js';
import { sendJson } from '../daemon/http-json.js';
import type { RequestOutcome } from '../standins/caller-state.js';
import { runToEnd, startProcess, type ManagedProcess } from './child-process.js';
import { summarizeHarm, type HarmSummary, type RunRecord } from './harm-summary.js';

const CLUSTER_KEY = 'demo-cluster-key';
const OPERATOR_TOKEN = 'demo-operator-token';
const SERVICES = ['authd', 'board-api'] as const;
const BACKENDS_PER_SERVICE = 4;
const BALANCER_COUNT = 2;
const SESSIONS_PER_SERVICE = 60;
const REQUESTS_PER_SESSION = 20;
const STOP_GRACE_MS = 500;
const POLL_INTERVAL_MS = 100;
const START_TIMEOUT_MS = 10_000;
const HTTP_TIMEOUT_MS = 2_000;
const MILLISECONDS_PER_SECOND = 1000;

/** The figures of a run. */
export interface DemoReport extends HarmSummary {
  readonly peakOverMeanConnections: number;
  readonly seconds: number;
}

/** Called as the demo goes on. */
export type DemoProgress = (message: string, done: number, total: number) => void;

interface DemoBackend {
  readonly service: string;
  readonly process: ManagedProcess;
  readonly healthAddress: Address;
  readonly id: number;
}

interface DemoCluster {
  readonly processes: ManagedProcess[];
  readonly client: OperatorClient;
  readonly fabric: ManagedProcess;
  readonly serviceAddresses: readonly Address[];
  readonly balancers: ManagedProcess[];
  readonly backends: readonly DemoBackend[];
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

async function startCluster(
  processes: ManagedProcess[],
  dataFolder: string,
  progress: DemoProgress,
): Promise<DemoCluster> {
  const start = async (name: string, args: readonly string[]): Promise<ManagedProcess> => {
    const started = await startProcess(name, args);
    processes.push(started);
    progress(`Started ${name}.`, 0, 1);
    return started;
  };
  const fabric = await start('fabric', [
    'fabric',
    ...SERVICES.flatMap(() => ['--service', '127.0.0.1:0']),
  ]);
  const serviceAddresses = fabric.ready.serviceAddresses as Address[];
  const control = await start('control', controlArgs(dataFolder));
  const client = new OperatorClient({
    controlAddresses: [control.ready.operatorAddress as Address],
    bearerToken: OPERATOR_TOKEN,
  });
  const backends = await startBackends(start, client, fabric, serviceAddresses);
  const linkAddress = control.ready.linkAddress as Address;
  const balancers: ManagedProcess[] = [];
  for (let number = 1; number <= BALANCER_COUNT; number += 1) {
    balancers.push(await start(`balancer-${number}`, balancerArgs(number, linkAddress)));
  }
  const cluster = { processes, client, fabric, serviceAddresses, balancers, backends };
  await listBalancers(cluster);
  await waitUntilInForce(client);
  return cluster;
}

function controlArgs(dataFolder: string): string[] {
  return [
    'control',
    ...settingArgs({
      nodeId: 'control-1',
      clusterKey: CLUSTER_KEY,
      dataFolder,
      logLevel: 'warn',
      'control.operators': JSON.stringify([{ name: 'demo', token: OPERATOR_TOKEN }]),
    }),
  ];
}

function balancerArgs(number: number, linkAddress: Address): string[] {
  return [
    'balancer',
    ...settingArgs({
      nodeId: `balancer-${number}`,
      clusterKey: CLUSTER_KEY,
      logLevel: 'warn',
      'balancer.controlAddresses': JSON.stringify([formatAddress(linkAddress)]),
      'balancer.stopGraceMs': String(STOP_GRACE_MS),
    }),
  ];
}

function settingArgs(settings: Record<string, string>): string[] {
  return Object.entries(settings).flatMap(([path, value]) => ['--set', `${path}=${value}`]);
}

async function startBackends(
  start: (name: string, args: readonly string[]) => Promise<ManagedProcess>,
  client: OperatorClient,
  fabric: ManagedProcess,
  serviceAddresses: readonly Address[],
): Promise<DemoBackend[]> {
  const returnAddress = formatAddress(fabric.ready.returnAddress as Address);
  const backends: DemoBackend[] = [];
  for (const [position, service] of SERVICES.entries()) {
    const address = addressAt(serviceAddresses, position);
    const policy = 'adaptive';
    await accepted(client, `define-${service}`, {
      type: 'define-service',
      service,
      address,
      policy,
      limits: {},
    });
    for (let number = 1; number <= BACKENDS_PER_SERVICE; number += 1) {
      const name = `${service}-${number}`;
      const target = ['--service', service, '--service-address', formatAddress(address)];
      const process = await start(name, ['backend', ...target, '--fabric', returnAddress]);
      const healthAddress = process.ready.healthAddress as Address;
      const added = await accepted(client, `add-${name}`, {
        type: 'add-backend',
        service,
        address: process.ready.address as Address,
        healthAddress,
        zone: 'zone-a',
      });
      backends.push({ service, process, healthAddress, id: added.backendId ?? 0 });
    }
  }
  return backends;
}

function addressAt(addresses: readonly Address[], position: number): Address {
  const address = addresses[position];
  if (address === undefined) {
    throw new RangeError(`There is no service address ${position}.`);
  }
  return address;
}

async function accepted(client: OperatorClient, ...args: Parameters<OperatorClient['send']>) {
  const result = await client.send(...args);
  if (result.isErr()) {
    throw new Error(`${args[0]} was refused: ${result.error.message}`);
  }
  return result.value;
}

/** The platform's list of balancers, as the fabric has it. */
async function listBalancers(cluster: DemoCluster): Promise<void> {
  const body = cluster.balancers.map((balancer) => ({
    address: balancer.ready.frontAddress as Address,
    zone: 'zone-a',
  }));
  const to = cluster.fabric.ready.platformAddress as Address;
  await sendJson({ to, method: 'POST', path: '/balancers', body, timeoutMs: HTTP_TIMEOUT_MS });
}

async function waitUntilInForce(client: OperatorClient): Promise<void> {
  const endsAt = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < endsAt) {
    const shown = (await client.show()).unwrapOr({}) as {
      committed?: { index: number };
      inForceEverywhere?: number;
      balancers?: unknown[];
    };
    const complete = shown.balancers?.length === BALANCER_COUNT;
    if (complete && shown.inForceEverywhere === shown.committed?.index) {
      await sleep(MILLISECONDS_PER_SECOND);
      return;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error('The configuration did not come into force in time.');
}

async function runLoad(
  cluster: DemoCluster,
  startedAt: number,
  progress: DemoProgress,
): Promise<DemoReport> {
  const total = SERVICES.length * SESSIONS_PER_SERVICE * REQUESTS_PER_SESSION;
  const record: RunRecord = { requests: total, outcomes: [], brokenFlows: 0, wrongAnswers: 0 };
  let eventsDone = false;
  const onLine = (line: string): void => {
    takeCallerLine(record, line);
    const { length } = record.outcomes;
    progress('Requests', length, total);
    if (!eventsDone && length > total / 2) {
      eventsDone = true;
      events = disturb(cluster, progress);
    }
  };
  let events: Promise<void> = Promise.resolve();
  const callers = SERVICES.map((service, position) =>
    runToEnd(callerArgs(service, position, addressAt(cluster.serviceAddresses, position)), onLine),
  );
  await sleep(MILLISECONDS_PER_SECOND + POLL_INTERVAL_MS);
  const peakOverMeanConnections = await connectionImbalance(cluster);
  await Promise.all(callers);
  await events;
  const harm = summarizeHarm(record, await collectRuns(cluster));
  const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
  return { ...harm, peakOverMeanConnections, seconds };
}

function callerArgs(service: string, position: number, address: Address): string[] {
  return [
    'callers',
    ...['--service', service, '--service-address', formatAddress(address)],
    ...['--sessions', String(SESSIONS_PER_SERVICE), '--requests', String(REQUESTS_PER_SESSION)],
    ...['--first-number', String(position * SESSIONS_PER_SERVICE * REQUESTS_PER_SESSION)],
  ];
}

function takeCallerLine(record: RunRecord, line: string): void {
  const event = JSON.parse(line) as
    | { event: 'outcome'; outcome: RequestOutcome }
    | { event: 'finished'; brokenFlows: number; wrongAnswers: number };
  if (event.event === 'outcome') {
    record.outcomes.push(event.outcome);
  } else {
    record.brokenFlows += event.brokenFlows;
    record.wrongAnswers += event.wrongAnswers;
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

/** Highest over mean connections of a service's back ends, the worst service counting. */
async function connectionImbalance(cluster: DemoCluster): Promise<number> {
  const ratios: number[] = [];
  for (const service of SERVICES) {
    const members = cluster.backends.filter((backend) => backend.service === service);
    const loads = await Promise.all(members.map((backend) => readJson(backend, '/load')));
    const connections = loads.map((load) => (load as { connections: number }).connections);
    const mean = connections.reduce((sum, count) => sum + count, 0) / connections.length;
    ratios.push(Math.max(...connections) / mean);
  }
  return Math.max(...ratios);
}

async function collectRuns(cluster: DemoCluster) {
  const reports = await Promise.all(cluster.backends.map((backend) => readJson(backend, '/runs')));
  return reports as { runs: number[]; misrouted: number }[];
}

async function readJson(backend: DemoBackend, path: string): Promise<unknown> {
  const to = backend.healthAddress;
  const response = await sendJson({ to, method: 'GET', path, timeoutMs: HTTP_TIMEOUT_MS });
  return response.match(
    ({ body }) => body,
    (error) => {
      throw new Error(`${backend.process.name}: ${error.message}`);
    },
  );
}

async function stopAll(processes: readonly ManagedProcess[]): Promise<void> {
  processes.forEach((started) => started.signal('SIGTERM'));
  await Promise.all(processes.map((started) => started.exited));
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
