/**
 * @file Starts and stops the processes of the demo deployment on loopback: fabric, control machines, back ends and balancers.
 * Publishes the list of balancers to the fabric in place of the platform.
 */
import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { OperatorClient } from '../../tools/client/operator-client.js';
import { formatAddress, type Address } from '../../shared/common/address.js';
import { sendJson } from '../../managed/daemon/http-json.js';
import { startProcess, type AmberliftProcess } from '../processes/child-process.js';
import type { DeployedService, Deployment } from './deployment.js';
import { findFreeAddress } from '../processes/free-address.js';

const HTTP_TIMEOUT_MS = 2_000;
const POLL_INTERVAL_MS = 100;
const FORMATION_TIMEOUT_MS = 20_000;
/** Processes still running after this time are killed. */
const STOP_TIMEOUT_MS = 15_000;
const START_BATCH_SIZE = 4;

/** A running control machine. */
export interface ClusterControl {
  readonly nodeId: string;
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
  readonly dataFolder: string;
  readonly process: AmberliftProcess;
}

/** A running balancer. */
export interface ClusterBalancer {
  readonly nodeId: string;
  readonly zone: string;
  readonly address: Address;
  readonly process: AmberliftProcess;
}

/** A running back end. */
export interface ClusterBackend {
  readonly name: string;
  readonly service: DeployedService;
  readonly process: AmberliftProcess;
  readonly healthAddress: Address;
  readonly id: number;
  /** Revision of its operator's configuration that added it. */
  readonly addedInRevision: number;
  /** True once its operator has requested the drain. */
  draining: boolean;
}

/** Options of a cluster. */
export interface ClusterOptions {
  readonly deployment: Deployment;
  /** Folder for the data folders of the control machines. */
  readonly dataFolder: string;
  /** Receives a progress message. */
  onEvent(text: string): void;
}

/** A running deployment. */
export class Cluster {
  readonly controls: ClusterControl[] = [];
  readonly balancers: ClusterBalancer[] = [];
  readonly backends: ClusterBackend[] = [];
  readonly serviceAddresses = new Map<string, Address>();
  /** All started processes, for the stop. */
  private readonly processes: AmberliftProcess[] = [];
  private readonly clients = new Map<string, OperatorClient>();
  private readonly startCounts = new Map<string, number>();
  private fabric: AmberliftProcess | undefined;

  constructor(readonly options: ClusterOptions) {}

  /** Starts all processes and configures all services and back ends. */
  async start(): Promise<void> {
    await this.startFabric();
    await this.startControls();
    await this.waitForControl();
    const { deployment } = this.options;
    for (const service of deployment.services) {
      const command = { type: 'define-service', service: service.name, limits: {} } as const;
      const address = this.addressOf(service);
      await this.send(service, `define-${service.name}`, {
        ...command,
        address,
        policy: 'adaptive',
      });
    }
    const starts = deployment.services.flatMap((service) =>
      Array.from({ length: service.backends }, () => () => this.startBackend(service)),
    );
    await inBatches(starts);
    const balancers = Array.from(
      { length: deployment.balancers },
      () => () => this.startBalancer(),
    );
    await inBatches(balancers);
    await this.publishBalancers();
  }

  /** @returns the address that callers use; throws for an unknown service */
  addressOf(service: DeployedService): Address {
    const address = this.serviceAddresses.get(service.name);
    if (address === undefined) {
      throw new RangeError(`Unknown service ${service.name}.`);
    }
    return address;
  }

  /** Sends a command as the operator of a service; throws if it is refused. */
  async send(service: DeployedService, ...command: Parameters<OperatorClient['send']>) {
    const result = await this.clientOf(service.operator).send(...command);
    return result.match(
      (outcome) => outcome,
      (error) => {
        throw new Error(`${command[0]} was refused: ${error.message}`);
      },
    );
  }

  /** @returns the client of an operator, created on first use */
  clientOf(operator: string): OperatorClient {
    const existing = this.clients.get(operator);
    if (existing !== undefined) {
      return existing;
    }
    const { operators } = this.options.deployment.settings.control;
    const bearerToken = operators.find(({ name }) => name === operator)?.token ?? '';
    const controlAddresses = this.controls.map((control) => control.operatorAddress);
    const client = new OperatorClient({ controlAddresses, bearerToken });
    this.clients.set(operator, client);
    return client;
  }

  /** Starts a back end and adds it to its service. */
  async startBackend(service: DeployedService): Promise<ClusterBackend> {
    const { name, zone } = this.nextMember(service.name);
    const process = await this.spawn(name, [
      'backend',
      ...['--service', service.name, '--service-address', formatAddress(this.addressOf(service))],
      ...['--fabric', formatAddress(this.readyAddress(this.fabric, 'returnAddress'))],
      ...['--slots', String(service.slots), '--connections', String(service.connections)],
      ...['--queue', String(service.queue), '--service-time', String(service.serviceTimeMs)],
    ]);
    const healthAddress = this.readyAddress(process, 'healthAddress');
    const address = this.readyAddress(process, 'address');
    const command = { type: 'add-backend', service: service.name, address, healthAddress } as const;
    const added = await this.send(service, `add-${name}`, { ...command, zone });
    const backend: ClusterBackend = {
      name,
      service,
      process,
      healthAddress,
      id: added.backendId ?? 0,
      addedInRevision: added.revision,
      draining: false,
    };
    this.backends.push(backend);
    return backend;
  }

  /** Drains a back end as its operator. */
  async drain(backend: ClusterBackend): Promise<void> {
    const command = { type: 'drain-backend', backendId: backend.id } as const;
    await this.send(backend.service, `drain-${backend.name}`, command);
    backend.draining = true;
  }

  /** @returns the health addresses of the back ends of a service; they also accept notices */
  healthAddressesOf(service: DeployedService): Address[] {
    return this.backends
      .filter((backend) => backend.service === service)
      .map(({ healthAddress }) => healthAddress);
  }

  /** Starts a balancer; the fabric uses it after `publishBalancers`. */
  async startBalancer(): Promise<ClusterBalancer> {
    const { name, zone } = this.nextMember('balancer');
    const controlAddresses = this.controls.map(({ linkAddress }) => formatAddress(linkAddress));
    const process = await this.spawn(name, [
      'balancer',
      ...settingsArgs({
        nodeId: name,
        zone,
        'balancer.controlAddresses': JSON.stringify(controlAddresses),
        ...this.commonSettings(),
      }),
    ]);
    const address = this.readyAddress(process, 'frontAddress');
    const balancer = { nodeId: name, zone, address, process };
    this.balancers.push(balancer);
    return balancer;
  }

  /** Removes a balancer from the list; the fabric uses the new list after `publishBalancers`. */
  removeBalancer(balancer: ClusterBalancer): void {
    this.balancers.splice(this.balancers.indexOf(balancer), 1);
  }

  /** Sends the list of balancers to the fabric, in place of the platform. */
  async publishBalancers(): Promise<void> {
    const body = this.balancers.map(({ address, zone }) => ({ address, zone }));
    const to = this.readyAddress(this.fabric, 'platformAddress');
    await sendJson({ to, method: 'POST', path: '/balancers', body, timeoutMs: HTTP_TIMEOUT_MS });
  }

  /** Starts a process that `stop` ends. */
  async spawn(
    name: string,
    args: readonly string[],
    onLine?: (line: string) => void,
  ): Promise<AmberliftProcess> {
    const started = await startProcess(name, args, onLine);
    this.processes.push(started);
    this.options.onEvent(`Started ${name}.`);
    return started;
  }

  /** Ends all processes, including paused ones. */
  async stop(): Promise<void> {
    for (const process of this.processes) {
      process.signal('SIGCONT');
      process.signal('SIGTERM');
    }
    const kill = setTimeout(() => {
      this.processes.forEach((process) => process.signal('SIGKILL'));
    }, STOP_TIMEOUT_MS);
    await Promise.all(this.processes.map((process) => process.exited));
    clearTimeout(kill);
  }

  private async startFabric(): Promise<void> {
    const { deployment } = this.options;
    const { services } = deployment;
    this.fabric = await this.spawn('fabric', [
      'fabric',
      ...services.flatMap(() => ['--service', '127.0.0.1:0']),
      ...['--zone', deployment.zones[0] ?? ''],
      ...['--cross-zone-delay', String(deployment.crossZoneDelayMs)],
      ...['--caller-delay', String(deployment.callerDelayMs)],
    ]);
    const addresses = this.fabric.announcement.serviceAddresses as Address[];
    services.forEach((service, position) => {
      const address = addresses[position];
      if (address !== undefined) {
        this.serviceAddresses.set(service.name, address);
      }
    });
  }

  private async startControls(): Promise<void> {
    const { deployment, dataFolder } = this.options;
    const planned: Omit<ClusterControl, 'process'>[] = [];
    for (let number = 0; number < deployment.controlMachines; number += 1) {
      const nodeId = this.nextMember('control').name;
      const linkAddress = await findFreeAddress();
      const operatorAddress = await findFreeAddress();
      const folder = join(dataFolder, nodeId);
      await mkdir(folder, { recursive: true });
      planned.push({ nodeId, linkAddress, operatorAddress, dataFolder: folder });
    }
    const started = planned.map(async (control) => ({
      ...control,
      process: await this.spawnControl(control, planned),
    }));
    this.controls.push(...(await Promise.all(started)));
  }

  /** Waits until the control machines have formed a cluster and answer an operator. */
  private async waitForControl(): Promise<void> {
    const operator = this.options.deployment.services[0]?.operator ?? '';
    const endsAt = performance.now() + FORMATION_TIMEOUT_MS;
    while ((await this.clientOf(operator).query({ type: 'in-force' })).isErr()) {
      if (performance.now() > endsAt) {
        throw new Error('The control machines did not form a cluster in time.');
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  private spawnControl(
    control: Omit<ClusterControl, 'process'>,
    all: readonly Omit<ClusterControl, 'process'>[],
  ): Promise<AmberliftProcess> {
    const peers = all
      .filter(({ nodeId }) => nodeId !== control.nodeId)
      .map(({ nodeId, linkAddress }) => ({ nodeId, linkAddress: formatAddress(linkAddress) }));
    const { operators, adminToken = '' } = this.options.deployment.settings.control;
    return this.spawn(control.nodeId, [
      'control',
      ...settingsArgs({
        ...this.commonSettings(),
        nodeId: control.nodeId,
        dataFolder: control.dataFolder,
        'control.linkAddress': formatAddress(control.linkAddress),
        'control.operatorAddress': formatAddress(control.operatorAddress),
        'control.peers': JSON.stringify(peers),
        'control.operators': JSON.stringify(operators),
        'control.adminToken': adminToken,
      }),
    ]);
  }

  private commonSettings(): Record<string, string> {
    const { clusterKey, logLevel, balancer } = this.options.deployment.settings;
    return { clusterKey, logLevel, 'balancer.stopGraceMs': String(balancer.stopGraceMs) };
  }

  private nextMember(kind: string): { name: string; zone: string } {
    const { zones } = this.options.deployment;
    const number = (this.startCounts.get(kind) ?? 0) + 1;
    this.startCounts.set(kind, number);
    const zone = zones[(number - 1) % zones.length] ?? '';
    return { name: `${kind}-${number}`, zone };
  }

  private readyAddress(process: AmberliftProcess | undefined, key: string): Address {
    return process?.announcement[key] as Address;
  }
}

function settingsArgs(settings: Record<string, string>): string[] {
  return Object.entries(settings).flatMap(([path, value]) => ['--set', `${path}=${value}`]);
}

async function inBatches(starts: readonly (() => Promise<unknown>)[]): Promise<void> {
  for (let first = 0; first < starts.length; first += START_BATCH_SIZE) {
    await Promise.all(starts.slice(first, first + START_BATCH_SIZE).map((start) => start()));
  }
}
