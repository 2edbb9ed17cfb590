/**
 * @file Runs three control machines and several balancers as processes on loopback, for measurements of
 * the control plane. Back ends are only configured and do not run.
 */
import { createServer, type AddressInfo } from 'node:net';
import { once } from 'node:events';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { OperatorClient } from '../../tools/client/operator-client.js';
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { InForceSummary } from '../../managed/control/views/in-force.js';
import { startProcess, type AmberliftProcess } from '../processes/child-process.js';

const CLUSTER_KEY = 'in-force-cluster-key';
const OPERATOR_TOKEN = 'in-force-operator-token';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const START_BATCH = 5;
const START_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 50;
/** Unit of processor time in /proc. */
const CLOCK_TICKS_PER_SECOND = 100;
/** Index of `utime` in `/proc/PID/stat`, counted after the process name. */
const USER_TIME_FIELD = 11;

/** Processor time since the start of a process, and its current resident memory. */
export interface ProcessUsage {
  readonly processorSeconds: number;
  readonly residentBytes: number;
}

/** A cluster of control and balancer processes. */
export class InForceCluster {
  private readonly processes: AmberliftProcess[] = [];
  private folder = '';
  readonly balancers: AmberliftProcess[] = [];
  readonly controls: AmberliftProcess[] = [];
  private startedClient: OperatorClient | undefined;

  /** @throws Error if the cluster has not been started */
  get client(): OperatorClient {
    if (this.startedClient === undefined) {
      throw new Error('The cluster has not been started.');
    }
    return this.startedClient;
  }

  async start(balancerCount: number): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'amberlift-in-force-'));
    const linkAddresses = await findFreeAddresses(ZONES.length);
    await Promise.all(linkAddresses.map((_, number) => this.startControl(number, linkAddresses)));
    const controlAddresses = this.controls.map(
      ({ announcement }) => announcement.operatorAddress as Address,
    );
    this.startedClient = new OperatorClient({ controlAddresses, bearerToken: OPERATOR_TOKEN });
    for (let first = 0; first < balancerCount; first += START_BATCH) {
      const batch = Array.from(
        { length: Math.min(START_BATCH, balancerCount - first) },
        (_, offset) => this.startBalancer(first + offset, linkAddresses),
      );
      await Promise.all(batch);
    }
    await this.waitForBalancers(balancerCount);
  }

  /** @returns the leader's view of the revisions in force, or undefined if the query fails */
  async queryInForce(): Promise<InForceSummary | undefined> {
    return (await this.client.query({ type: 'in-force' })).unwrapOr(undefined);
  }

  async stop(): Promise<void> {
    this.processes.forEach((process) => process.signal('SIGTERM'));
    const allExited = Promise.all(this.processes.map(({ exited }) => exited));
    await Promise.race([allExited, sleep(STOP_TIMEOUT_MS, undefined, { ref: false })]);
    this.processes.forEach((process) => process.signal('SIGKILL'));
    await allExited;
    await rm(this.folder, { recursive: true, force: true });
  }

  private async startControl(number: number, linkAddresses: readonly Address[]): Promise<void> {
    const peers = linkAddresses.map((address, other) => ({
      nodeId: `control-${other + 1}`,
      linkAddress: formatAddress(address),
    }));
    const ownPeer = peers[number];
    const process = await startProcess(`control-${number + 1}`, [
      'control',
      ...settingArgs({
        nodeId: `control-${number + 1}`,
        zone: ZONES[number] ?? '',
        clusterKey: CLUSTER_KEY,
        logLevel: 'error',
        dataFolder: join(this.folder, `control-${number + 1}`),
        'control.linkAddress': ownPeer?.linkAddress ?? '',
        'control.peers': JSON.stringify(peers.filter((peer) => peer !== ownPeer)),
        'control.operators': JSON.stringify([{ name: 'bench', token: OPERATOR_TOKEN }]),
      }),
    ]);
    this.processes.push(process);
    this.controls.push(process);
  }

  private async startBalancer(number: number, controls: readonly Address[]): Promise<void> {
    const addresses = controls.map((_, offset) => controls[(number + offset) % controls.length]);
    const addressTexts = addresses.flatMap((address) =>
      address === undefined ? [] : [formatAddress(address)],
    );
    const process = await startProcess(`balancer-${number + 1}`, [
      'balancer',
      ...settingArgs({
        nodeId: `balancer-${number + 1}`,
        zone: ZONES[number % ZONES.length] ?? '',
        clusterKey: CLUSTER_KEY,
        logLevel: 'error',
        'balancer.controlAddresses': JSON.stringify(addressTexts),
        'balancer.stopGraceMs': '0',
      }),
    ]);
    this.processes.push(process);
    this.balancers.push(process);
  }

  private async waitForBalancers(count: number): Promise<void> {
    const deadlineMs = performance.now() + START_TIMEOUT_MS;
    while (((await this.queryInForce())?.balancerCount ?? 0) < count) {
      if (performance.now() > deadlineMs) {
        throw new Error(`Timed out waiting for the leader to report ${count} balancers.`);
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

/** Reads the resource usage of a process from /proc. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1]);
  const kilobytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  return {
    processorSeconds: ticks / CLOCK_TICKS_PER_SECOND,
    residentBytes: kilobytes * 1_024,
  };
}

/** @returns loopback addresses with ports that were free at the time of the call */
async function findFreeAddresses(count: number): Promise<Address[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports.map((port) => ({ host: '127.0.0.1', port }));
}

function settingArgs(settings: Record<string, string>): string[] {
  return Object.entries(settings).flatMap(([path, value]) => ['--set', `${path}=${value}`]);
}
