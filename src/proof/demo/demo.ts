/**
 * @file The demo: runs callers against a deployment on loopback, kills one balancer and drains one back end under load, and
 * returns the figures of the run.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { formatAddress } from '../../shared/common/address.js';
import { settingsSchema } from '../../managed/settings/settings-schema.js';
import { runToCompletion } from '../processes/child-process.js';
import { Cluster } from './cluster.js';
import { revisionsOf, waitUntilInForce } from './cluster-status.js';
import type { DeployedService, Deployment } from './deployment.js';
import { LoadSampler } from './load-sampler.js';
import { NoticePublisher } from './notice-publisher.js';
import { collectFigures, type RunFigures } from './run-figures.js';
import { RunRecorder } from './run-recorder.js';

/** Receives progress: a message, or the number of finished requests out of the total. */
export type DemoProgress = (message: string, done: number, total: number) => void;

const SESSIONS_PER_SERVICE = 60;
const REQUESTS_PER_SESSION = 20;
/** Sessions of each service that also subscribe to a feed. */
const FEEDS_PER_SERVICE = 20;
const NOTICES_PER_SERVICE = 100;
const NOTICE_INTERVAL_MS = 50;
const ANSWER_BYTES = 3_000;
const IN_FORCE_TIMEOUT_MS = 10_000;
/** Leaves time for the first probes of the balancers. */
const SETTLE_TIME_MS = 1_000;

const controlSettings = settingsSchema.parse({
  nodeId: 'control-1',
  clusterKey: 'demo-cluster-key',
  logLevel: 'warn',
  balancer: { stopGraceMs: 500 },
  control: {
    adminToken: 'demo-admin-token',
    operators: [{ name: 'demo', token: 'demo-operator-token' }],
  },
});

const deployment: Deployment = {
  zones: ['zone-a'],
  crossZoneDelayMs: 0.5,
  callerDelayMs: 1,
  balancers: 2,
  controlMachines: 1,
  services: ['authd', 'board-api'].map((name) => ({
    name,
    operator: 'demo',
    backends: 4,
    slots: 2,
    connections: 2_000,
    queue: 200,
    serviceTimeMs: 5,
    answerBytes: ANSWER_BYTES,
  })),
  settings: controlSettings,
};

/**
 * Runs the demo and ends all its processes before it returns.
 */
export async function runDemo(progress: DemoProgress): Promise<RunFigures> {
  const dataFolder = await mkdtemp(join(tmpdir(), 'amberlift-demo-'));
  const onEvent = (text: string): void => progress(text, 0, 1);
  const cluster = new Cluster({ deployment, dataFolder, onEvent });
  try {
    await cluster.start();
    const revisions = revisionsOf(cluster.backends);
    if (!(await waitUntilInForce(cluster, revisions, IN_FORCE_TIMEOUT_MS))) {
      throw new Error('The configuration was not in force on all balancers in time.');
    }
    await sleep(SETTLE_TIME_MS);
    return await runLoad(cluster, progress);
  } finally {
    await cluster.stop();
    await rm(dataFolder, { recursive: true });
  }
}

async function runLoad(cluster: Cluster, progress: DemoProgress): Promise<RunFigures> {
  const { services } = deployment;
  const total = services.length * SESSIONS_PER_SERVICE * REQUESTS_PER_SESSION;
  const recorder = new RunRecorder();
  const sampler = new LoadSampler(cluster);
  let faults: Promise<void> | undefined;
  const onLine = (line: string): void => {
    recorder.recordCallerLine(line);
    const { length } = recorder.outcomes;
    progress('Requests', length, total);
    if (length > total / 2) {
      faults ??= injectFaults(cluster, progress);
    }
  };
  sampler.start();
  const callers = services.map((service, position) =>
    runToCompletion(callerArgs(cluster, service, position), onLine),
  );
  const publishing = services.map((service) => publishNotices(cluster, service));
  await Promise.all([...callers, ...publishing]);
  sampler.stop();
  await faults;
  const figures = await collectFigures(cluster, recorder, sampler);
  if (figures.requests !== total) {
    throw new Error(`Callers reported ${figures.requests} requests out of ${total}.`);
  }
  return figures;
}

function callerArgs(cluster: Cluster, service: DeployedService, position: number): string[] {
  return [
    'callers',
    ...['--service', service.name],
    ...['--service-address', formatAddress(cluster.addressOf(service))],
    ...['--sessions', String(SESSIONS_PER_SERVICE), '--requests', String(REQUESTS_PER_SESSION)],
    ...['--feeds', String(FEEDS_PER_SERVICE), '--notices', String(NOTICES_PER_SERVICE)],
    ...['--answer-bytes', String(service.answerBytes)],
    ...['--first-number', String(position * SESSIONS_PER_SERVICE * REQUESTS_PER_SESSION)],
  ];
}

/** Publishes notices at an even rate during the load and the faults. */
async function publishNotices(cluster: Cluster, service: DeployedService): Promise<void> {
  const publisher = new NoticePublisher(() => cluster.healthAddressesOf(service));
  for (let number = 1; number <= NOTICES_PER_SERVICE; number += 1) {
    await publisher.publish(`Notice ${number} of ${service.name}`);
    await sleep(NOTICE_INTERVAL_MS);
  }
}

/** Kills one balancer and drains one back end. */
async function injectFaults(cluster: Cluster, progress: DemoProgress): Promise<void> {
  const [killed] = cluster.balancers;
  if (killed !== undefined) {
    killed.process.signal('SIGKILL');
    cluster.removeBalancer(killed);
    progress(`Killed ${killed.nodeId}.`, 0, 1);
  }
  const [drained] = cluster.backends;
  if (drained !== undefined) {
    await cluster.drain(drained);
    progress(`Drained ${drained.name}.`, 0, 1);
  }
  await cluster.publishBalancers();
}
