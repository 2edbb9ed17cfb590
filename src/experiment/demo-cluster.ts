/**
 * @file The demo's cluster: fabric, control, back ends and balancers as separate processes on
 * loopback, with services and back ends defined by an operator.
 */
import { OperatorClient } from '../client/operator-client.js';
import type { Address } from '../common/address.js';
import { formatAddress } from '../common/address.js';
import { sendJson } from '../daemon/http-json.js';
import { startProcess, type ManagedProcess } from './child-process.js';

const CLUSTER_KEY = 'demo-cluster-key';
const OPERATOR_TOKEN = 'demo-operator-token';
const BACKENDS_PER_SERVICE = 4;
const BALANCER_COUNT = 2;
const STOP_GRACE_MS = 500;
const POLL_INTERVAL_MS = 100;
const SETTLE_TIME_MS = 1_000;
const START_TIMEOUT_MS = 10_000;
const HTTP_TIMEOUT_MS = 2_000;

/** The services of the demo. */
export const DEMO_SERVICES = ['authd', 'board-api'] as const;

/** Called as the demo goes on. */
export type DemoProgress = (message: string, done: number, total: number) => void;

/** A back end of the demo. */
export interface DemoBackend {
  readonly service: string;
  readonly process: ManagedProcess;
  readonly healthAddress: Address;
  readonly id: number;
}

/** The processes of the demo. */
export interface DemoCluster {
  readonly client: OperatorClient;
  readonly fabric: ManagedProcess;
  readonly serviceAddresses: readonly Address[];
  readonly balancers: ManagedProcess[];
  readonly backends: readonly DemoBackend[];
}

/**
 * Starts all processes and waits until the configuration is in force.
 * @param processes takes each process as it starts, so that the caller ends them whatever happens
 */
export async function startCluster(
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
    ...DEMO_SERVICES.flatMap(() => ['--service', '127.0.0.1:0']),
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
  const cluster = { client, fabric, serviceAddresses, balancers, backends };
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
  for (const [position, service] of DEMO_SERVICES.entries()) {
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

/**
 * @returns the address at this position; throws where there is none
 */
export function addressAt(addresses: readonly Address[], position: number): Address {
  const address = addresses[position];
  if (address === undefined) {
    throw new RangeError(`There is no service address ${position}.`);
  }
  return address;
}

/**
 * Sends an operator's command.
 * @returns its outcome; throws where it was refused
 */
export async function accepted(
  client: OperatorClient,
  ...args: Parameters<OperatorClient['send']>
) {
  const result = await client.send(...args);
  if (result.isErr()) {
    throw new Error(`${args[0]} was refused: ${result.error.message}`);
  }
  return result.value;
}

/**
 * Sets the platform's list of balancers, as the fabric has it.
 */
export async function listBalancers(cluster: DemoCluster): Promise<void> {
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
    const shown = (await client.query({ type: 'in-force' })).unwrapOr(undefined);
    if (shown?.balancerCount === BALANCER_COUNT && shown.lagging.length === 0) {
      await sleep(SETTLE_TIME_MS);
      return;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error('The configuration did not come into force in time.');
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
