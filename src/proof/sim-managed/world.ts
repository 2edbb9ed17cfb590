/**
 * @file A simulated world: control machines, balancers, back ends, callers, the fabric and the
 * operators of both partners, all running the step functions of the daemons and stand-ins.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { CommandOutcome, OperatorCommand } from '../../managed/control/commands.js';
import { noticePayload } from './notice-payload.js';
import { SimulatedBackend } from './simulated-backend.js';
import { SimulatedBalancer } from './simulated-balancer.js';
import { SimulatedCaller } from './simulated-caller.js';
import { SimulatedControl } from './simulated-control.js';
import { SimulatedFabric } from './simulated-fabric.js';
import { GOSSIP_PORT } from './simulated-peer-sockets.js';
import { SimulatedOperator } from './simulated-operator.js';
import { productSteps, type SimulatedSteps } from './simulated-steps.js';
import { Simulation } from './simulation.js';
import type { TraceListener } from './trace.js';
import { zoneOf, type ServicePlan, type WorldPlan } from './world-plan.js';

const CLUSTER_KEY = 'simulated-cluster-key';
const PORT = 7000;
/** Longest time for each step of the set-up, such as electing a leader. */
const SETUP_TIMEOUT_MS = 20_000;
const SETUP_STEP_MS = 100;
/** Time for the first probes, before the fabric receives its list of balancers. */
const FIRST_LIST_DELAY_MS = 500;
const ANSWER_BYTES = 2_500;
const MAX_REQUESTS = 2_000;
const REQUEST_NUMBERS_PER_CALLER = 100_000;
const LAST_NOTICE_NUMBER = 1_000_000;
const DAY_MS = 86_400_000;

/** Options of a world. */
export interface WorldOptions {
  readonly seed: number;
  readonly plan: WorldPlan;
  readonly listener: TraceListener;
  readonly steps?: SimulatedSteps;
  /** True if the trace stores every packet. */
  readonly keepsPackets?: boolean;
}

/** A back end process with its ID and state as the operators see them. */
export interface DeployedBackend {
  readonly process: SimulatedBackend;
  readonly service: ServicePlan;
  /** Undefined until the operator receives the answer to its add command. */
  backendId: number | undefined;
  /** Administrative state that the operator requested last; `retired` once that was accepted. */
  requestedState: 'active' | 'draining' | 'retired';
}

/** Creates the processes of a world and provides them to scenarios. */
export class World {
  readonly simulation: Simulation;
  readonly plan: WorldPlan;
  readonly controls: SimulatedControl[] = [];
  readonly balancers: SimulatedBalancer[] = [];
  readonly backends: DeployedBackend[] = [];
  readonly callers: SimulatedCaller[] = [];
  readonly operators = new Map<string, SimulatedOperator>();
  readonly fabric: SimulatedFabric;
  private readonly directory = { byHealthAddress: new Map<string, SimulatedBackend>() };
  private readonly backendNames = new Map<number, string>();
  private nextNoticeNumber = 1;
  private nextBackendNumber = 1;

  constructor(options: WorldOptions) {
    const { seed, plan, listener, steps = productSteps, keepsPackets = false } = options;
    this.plan = plan;
    this.simulation = new Simulation(seed, steps, listener, keepsPackets);
    this.fabric = new SimulatedFabric(this.simulation);
    this.createControls();
    this.createOperators();
    this.createBalancers();
  }

  /**
   * Starts all processes and runs until every balancer has the configuration and the callers are
   * started.
   */
  async setUp(): Promise<void> {
    const { controls, balancers, fabric, operators } = this;
    fabric.start();
    [...controls, ...operators.values()].forEach((process) => process.start());
    await this.runUntil(() => this.isBootstrapped());
    this.plan.services.forEach((service, position) => this.defineService(service, position));
    await this.runUntil(() => this.areAllCommandsAnswered());
    balancers.forEach((balancer) => balancer.start());
    await this.runUntil(() => this.areBalancersUpToDate());
    await this.run(FIRST_LIST_DELAY_MS);
    fabric.setBalancers(balancers);
    this.plan.services.forEach((service, position) => this.startCallers(service, position));
  }

  async run(durationMs: number): Promise<void> {
    await this.simulation.clock.runUntil(this.simulation.nowMs + durationMs);
  }

  after(delayMs: number, action: () => void): void {
    this.simulation.clock.after(delayMs, action);
  }

  /** Sends a command as the operator that owns the service. */
  command(
    service: ServicePlan,
    subject: string,
    command: OperatorCommand,
    done?: (outcome: CommandOutcome) => void,
  ): void {
    this.operators.get(service.owner)?.send({ command, subject, service: service.name }, done);
  }

  /** Starts a back end process and sends the command that adds it. */
  addBackend(service: ServicePlan, address?: Address): DeployedBackend {
    const backend = this.startBackend(service, address);
    const { process } = backend;
    const command: OperatorCommand = {
      type: 'add-backend',
      service: service.name,
      address: process.address,
      healthAddress: process.address,
      zone: process.zone,
    };
    this.command(service, process.name, command, (outcome) => {
      backend.backendId = outcome.accepted ? outcome.backendId : undefined;
    });
    return backend;
  }

  /** Returns the name of the next back end process if it belongs to this service. */
  nextBackendName(service: ServicePlan): string {
    return `${service.name}-${this.nextBackendNumber}`;
  }

  /** Publishes the next notice to the back ends of a service. */
  publish(service: ServicePlan): void {
    const number = this.nextNoticeNumber;
    this.nextNoticeNumber += 1;
    this.simulation.record({ type: 'published', service: service.name, number });
    const payload = noticePayload(service.name, number);
    const backends = this.backends.filter(({ service: candidate }) => candidate === service);
    backends.forEach(({ process }) => process.publish(number, payload));
  }

  /** Sends the list of live balancers to the fabric after a random platform lag. */
  updateBalancerList(): void {
    const lagMs = this.simulation.random.nextFloat() * this.plan.platformLagMs;
    const live = this.balancers.filter(({ isListed }) => isListed);
    this.after(lagMs, () => this.fabric.setBalancers(live));
  }

  /**
   * @returns the process name of the back end with an ID; retired ones are included if looked up
   * before
   */
  backendName(backendId: number): string {
    const cachedName = this.backendNames.get(backendId);
    if (cachedName !== undefined) {
      return cachedName;
    }
    for (const { state } of this.controls) {
      const address = state?.cluster.routing.backends.get(backendId)?.address;
      const process = address && this.directory.byHealthAddress.get(formatAddress(address));
      if (process !== undefined) {
        this.backendNames.set(backendId, process.name);
        return process.name;
      }
    }
    return `back end ${backendId}`;
  }

  /** Runs until a condition holds; throws after the timeout. */
  async runUntil(condition: () => boolean, timeoutMs = SETUP_TIMEOUT_MS): Promise<void> {
    const endMs = this.simulation.nowMs + timeoutMs;
    while (!condition()) {
      if (this.simulation.nowMs >= endMs) {
        throw new Error(
          `Simulated world: condition not met within ${timeoutMs} ms of virtual time.`,
        );
      }
      await this.run(SETUP_STEP_MS);
    }
  }

  areAllCommandsAnswered(): boolean {
    return [...this.operators.values()].every(({ pendingCount }) => pendingCount === 0);
  }

  /** Highest index that any control machine has applied. */
  appliedIndex(): number {
    return Math.max(0, ...this.controls.map(({ state }) => state?.cluster.index ?? 0));
  }

  /** Records the configurations of all running balancers. */
  recordFinalConfigs(): void {
    for (const { name, status, state } of this.balancers) {
      if (status !== 'running') {
        continue;
      }
      const { services, backends } = state.config;
      this.simulation.record({
        type: 'final-config',
        balancer: name,
        services: Object.fromEntries(
          [...services.values()].map((service) => [service.name, service.version]),
        ),
        backends: Object.fromEntries(
          [...backends.values()].map(({ id, adminState }) => [this.backendName(id), adminState]),
        ),
      });
    }
  }

  private areBalancersUpToDate(): boolean {
    const index = this.appliedIndex();
    return this.balancers.every(({ state }) => state.position.index === index);
  }

  private isBootstrapped(): boolean {
    return this.controls.some(
      ({ isLeader, state }) =>
        isLeader &&
        state !== undefined &&
        state.cluster.operators.size > 0 &&
        state.cluster.routing.keys.size > 0,
    );
  }

  private createControls(): void {
    const machines = Array.from({ length: this.plan.controls }, (_, position) => ({
      nodeId: `control-${position + 1}`,
      linkAddress: { host: `10.4.0.${position + 1}`, port: PORT },
      operatorAddress: { host: `10.4.0.${position + 1}`, port: PORT + 1 },
    }));
    const owners = new Set(this.plan.services.map(({ owner }) => owner));
    const operators = [...owners].map((name) => ({ name, token: `token-${name}` }));
    machines.forEach(({ nodeId, linkAddress, operatorAddress }, position) => {
      const control = new SimulatedControl(this.simulation, {
        name: nodeId,
        zone: zoneOf(position),
        linkAddress,
        operatorAddress,
        peers: machines.filter((other) => other.nodeId !== nodeId),
        clusterKey: CLUSTER_KEY,
        operators,
      });
      this.controls.push(control);
    });
  }

  private createOperators(): void {
    const owners = new Set(this.plan.services.map(({ owner }) => owner));
    [...owners].forEach((name, position) => {
      const host = `10.7.0.${position + 1}`;
      const operator = new SimulatedOperator(this.simulation, name, host, this.controls);
      this.operators.set(name, operator);
    });
  }

  private createBalancers(): void {
    const controlAddresses = this.controls.map(({ options }) => options.linkAddress);
    for (let position = 0; position < this.plan.balancers; position += 1) {
      const firstControl = position % controlAddresses.length;
      const options = {
        name: `balancer-${position + 1}`,
        host: balancerHost(position),
        zone: zoneOf(position % this.plan.balancerZones),
        controlAddresses: [
          ...controlAddresses.slice(firstControl),
          ...controlAddresses.slice(0, firstControl),
        ],
        clusterKey: CLUSTER_KEY,
        seeds: [{ host: balancerHost(0), port: GOSSIP_PORT }],
        stopGraceMs: this.plan.stopGraceMs,
      };
      this.balancers.push(new SimulatedBalancer(this.simulation, options, this.directory));
    }
  }

  private defineService(service: ServicePlan, position: number): void {
    const define: OperatorCommand = {
      type: 'define-service',
      service: service.name,
      address: serviceAddress(position),
      policy: 'adaptive',
      limits: {},
    };
    this.command(service, service.name, define, () => {
      for (let number = 0; number < service.backends; number += 1) {
        this.addBackend(service);
      }
    });
  }

  /** Starts a back end process without sending the command that adds it. */
  startBackend(service: ServicePlan, givenAddress?: Address): DeployedBackend {
    const name = this.nextBackendName(service);
    const number = this.nextBackendNumber;
    this.nextBackendNumber += 1;
    const address = givenAddress ?? { host: `10.5.0.${number}`, port: PORT };
    const faults = this.plan.backendFaults.get(number - 1);
    const process = new SimulatedBackend(
      this.simulation,
      {
        name,
        zone: zoneOf(number),
        address,
        options: {
          serviceName: service.name,
          serviceAddress: serviceAddress(this.plan.services.indexOf(service)),
          fabricAddress: this.fabric.returnAddress,
          slots: 2,
          connectionLimit: 2_000,
          queueLimit: 100,
          meanServiceTimeMs: this.plan.meanServiceTimeMs,
          warmUpMs: 200,
          halfOpenTimeoutMs: 10_000,
          tuning: this.plan.backendTuning,
          ...(faults !== undefined && { faults }),
        },
      },
      (from) => this.balancerNameAt(from),
    );
    this.directory.byHealthAddress.set(formatAddress(address), process);
    const backend: DeployedBackend = {
      process,
      service,
      backendId: undefined,
      requestedState: 'active',
    };
    this.backends.push(backend);
    process.start();
    return backend;
  }

  private balancerNameAt(address: Address): string {
    const balancer = this.balancers.find(({ host }) => host === address.host);
    return balancer?.name ?? formatAddress(address);
  }

  private startCallers(service: ServicePlan, servicePosition: number): void {
    for (let number = 0; number < service.callers + service.feeds; number += 1) {
      this.startCaller(service, servicePosition, number >= service.callers);
    }
  }

  private startCaller(service: ServicePlan, servicePosition: number, hasFeed: boolean): void {
    const position = this.callers.length;
    const feed = { afterNotice: 0, lastNotice: LAST_NOTICE_NUMBER, deadlineMs: DAY_MS };
    const caller = new SimulatedCaller(
      this.simulation,
      {
        name: `caller-${position + 1}`,
        host: `10.6.0.${position + 1}`,
        service: serviceAddress(servicePosition),
        options: {
          serviceName: service.name,
          requestCount: MAX_REQUESTS,
          firstRequestNumber: position * REQUEST_NUMBERS_PER_CALLER,
          answerBytes: ANSWER_BYTES,
          pauseMs: this.plan.pauseMs,
          requestDeadlineMs: this.plan.requestDeadlineMs,
          openDeadlineMs: 2_000,
          retransmitMs: 250,
          retransmitMaxMs: 1_000,
          ignoresGoAway: this.plan.callersIgnoreGoAway,
          ...(hasFeed && { feed }),
        },
      },
      this.fabric,
      (backendId) => this.backendName(backendId),
    );
    this.callers.push(caller);
    this.fabric.addCaller(caller);
    caller.start();
  }
}

function balancerHost(position: number): string {
  return `10.3.0.${position + 1}`;
}

function serviceAddress(position: number): Address {
  return { host: `10.1.0.${position + 1}`, port: PORT };
}
