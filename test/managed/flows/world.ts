/**
 * @file Simulates callers, fabric, balancers and back ends on a virtual network with the state machines of the real
 * processes, and records the outcome of each request and notice.
 */
import { balancerStep } from '../../../src/managed/balancer/balancer-step.js';
import type {
  BalancerEffect,
  BalancerEvent,
} from '../../../src/managed/balancer/balancer-events.js';
import {
  createBalancerState,
  type BalancerState,
} from '../../../src/managed/balancer/balancer-state.js';
import { applyConfigUpdate } from '../../../src/managed/balancer/config-tables.js';
import { defaultBalancerOptions } from '../../../src/managed/balancer/balancer-options.js';
import { formatAddress, type Address } from '../../../src/shared/common/address.js';
import type { Backend, Service } from '../../../src/managed/control/routing-config.js';
import type { BackendOptions } from '../../../src/proof/standins/backend-options.js';
import {
  createBackendState,
  healthReport,
  isDown,
  loadReport,
  type BackendState,
} from '../../../src/proof/standins/backend-state.js';
import { backendStep, type BackendEvent } from '../../../src/proof/standins/backend-step.js';
import {
  createCallerState,
  type CallerOptions,
  type CallerState,
  type RequestOutcome,
} from '../../../src/proof/standins/caller-state.js';
import { callerStep, type CallerEvent } from '../../../src/proof/standins/caller-step.js';
import {
  createFabricState,
  fabricStep,
  type FabricEffect,
  type FabricEvent,
  type FabricState,
} from '../../../src/proof/standins/fabric-step.js';
import { goodNetwork, VirtualNetwork, type NetworkFaults } from './network.js';

const TICK_MS = 10;
const HOP_MS = 0.5;
const PORT = 5000;
const ZONE = 'zone-a';
const SERVICE_ADDRESS: Address = { host: '10.1.0.1', port: PORT };
const RETURN_ADDRESS: Address = { host: '10.2.0.1', port: PORT };
const service: Service = {
  id: 1,
  name: 'authd',
  owner: 'tarjeta',
  address: SERVICE_ADDRESS,
  policy: 'random',
  limits: {},
  version: 1,
};

export interface WorldOptions {
  readonly seed: number;
  readonly faults?: NetworkFaults;
  readonly balancers?: number;
  readonly backends: readonly Partial<BackendOptions>[];
}

export interface VirtualCaller {
  readonly state: CallerState;
  readonly outcomes: RequestOutcome[];
  readonly notices: number[];
  missed: number;
}

interface VirtualBalancer {
  readonly state: BalancerState;
  readonly front: Address;
  readonly back: Address;
  isDown: boolean;
}

/** A simulated cluster with fault injection. */
export class World {
  readonly network: VirtualNetwork;
  readonly backends: BackendState[] = [];
  readonly balancers: VirtualBalancer[] = [];
  readonly callers: VirtualCaller[] = [];
  /** Number of opens received by each back end, by position. */
  readonly opens: number[] = [];
  private readonly fabric: FabricState;
  private readonly config: Backend[] = [];
  private position = 0;

  constructor(options: WorldOptions) {
    this.network = new VirtualNetwork(options.seed, options.faults ?? goodNetwork);
    const fabricOptions = { zone: ZONE, crossZoneDelayMs: 0.5, callerDelayMs: 1 };
    this.fabric = createFabricState(fabricOptions);
    options.backends.forEach((backend) => this.addBackend(backend));
    for (let number = 0; number < (options.balancers ?? 2); number += 1) {
      this.addBalancer(number);
    }
    this.configure();
    this.listBalancers();
    this.network.runUntil(2_000);
  }

  addCaller(options: Partial<CallerOptions>): VirtualCaller {
    const number = this.callers.length;
    const state = createCallerState(
      {
        serviceName: service.name,
        requestCount: 0,
        firstRequestNumber: number * 1_000,
        answerBytes: 3_000,
        pauseMs: 100,
        requestDeadlineMs: 5_000,
        openDeadlineMs: 2_000,
        retransmitMs: 100,
        ...options,
      },
      this.network.nowMs,
    );
    const caller: VirtualCaller = { state, outcomes: [], notices: [], missed: 0 };
    this.callers.push(caller);
    this.network.every(TICK_MS, () => this.stepCaller(number, { type: 'tick' }));
    return caller;
  }

  publish(number: number): void {
    const payload = Buffer.from(`notice ${number}`);
    this.backends.forEach((_, position) =>
      this.stepBackend(position, { type: 'publish', number, payload }),
    );
  }

  /** Publishes the notices `first` to `last` at a fixed interval. */
  publishEvery(intervalMs: number, first: number, last: number): void {
    if (first <= last) {
      this.publish(first);
      this.network.after(intervalMs, () => this.publishEvery(intervalMs, first + 1, last));
    }
  }

  drainBackend(position: number): void {
    const backend = this.config[position];
    if (backend !== undefined) {
      this.config[position] = { ...backend, adminState: 'draining' };
    }
    this.configure();
    this.stepBackend(position, { type: 'drain' });
  }

  crashBackend(position: number, downMs: number): void {
    const incarnation = this.network.context.random.nextInt(2 ** 31);
    this.stepBackend(position, { type: 'crash', incarnation, downMs });
  }

  killBalancer(position: number): void {
    const balancer = this.balancers[position];
    if (balancer !== undefined) {
      balancer.isDown = true;
    }
  }

  /** Graceful stop: the balancer refuses new opens and forwards packets until the grace period ends. */
  stopBalancer(position: number, graceMs: number): void {
    this.stepBalancer(position, { type: 'stop' });
    this.network.after(graceMs, () => this.killBalancer(position));
  }

  listBalancers(positions = this.balancers.map((_, position) => position)): void {
    const listed = this.balancers.filter((_, position) => positions.includes(position));
    const balancers = listed.map(({ front }) => ({ address: front, zone: ZONE }));
    this.stepFabric({ type: 'list', balancers });
  }

  stepBalancer(position: number, event: BalancerEvent): void {
    const balancer = this.balancers[position];
    if (balancer === undefined || balancer.isDown) {
      return;
    }
    for (const effect of balancerStep(balancer.state, event, this.network.context)) {
      this.performBalancerEffect(position, balancer, effect);
    }
  }

  stepBackend(position: number, event: BackendEvent): void {
    const state = this.backends[position];
    if (state === undefined) {
      return;
    }
    for (const { to, datagram } of backendStep(state, event, this.network.context)) {
      this.send(backendAddress(position), to, datagram);
    }
  }

  /** Sends a datagram over one hop to the process at the address. */
  send(from: Address, to: Address, datagram: Uint8Array): void {
    this.network.transmit(HOP_MS, () => this.deliver(from, to, datagram));
  }

  run(durationMs: number): void {
    this.network.runUntil(this.network.nowMs + durationMs);
  }

  /** Runs until all callers have finished; throws after `limitMs` of virtual time. */
  finish(limitMs: number): void {
    const endMs = this.network.nowMs + limitMs;
    while (!this.callers.every((caller) => caller.state.finished)) {
      if (this.network.nowMs >= endMs) {
        throw new Error('Callers did not finish within the time limit.');
      }
      this.run(100);
    }
  }

  private addBackend(options: Partial<BackendOptions>): void {
    const position = this.backends.length;
    const state = createBackendState(
      {
        serviceName: service.name,
        serviceAddress: SERVICE_ADDRESS,
        fabricAddress: RETURN_ADDRESS,
        slots: 2,
        connectionLimit: 2_000,
        queueLimit: 100,
        meanServiceTimeMs: 5,
        warmUpMs: 0,
        halfOpenTimeoutMs: 10_000,
        ...options,
      },
      position + 1,
      this.network.nowMs,
    );
    this.backends.push(state);
    this.opens.push(0);
    this.config.push({
      id: position + 1,
      serviceId: service.id,
      address: backendAddress(position),
      healthAddress: backendAddress(position),
      zone: ZONE,
      adminState: 'active',
    });
    this.network.every(TICK_MS, () => this.stepBackend(position, { type: 'tick' }));
  }

  private addBalancer(number: number): void {
    const state = createBalancerState({
      ...defaultBalancerOptions,
      balancerId: `balancer-${number}`,
      zone: ZONE,
      controlAddresses: [],
      clusterKey: 'test-cluster-key',
    });
    const front = { host: `10.3.0.${number + 1}`, port: PORT };
    const back = { host: `10.4.0.${number + 1}`, port: PORT };
    this.balancers.push({ state, front, back, isDown: false });
    this.network.every(TICK_MS, () => this.stepBalancer(number, { type: 'tick' }));
  }

  private configure(): void {
    this.position += 1;
    const to = { term: 1, index: this.position };
    const keys = [{ id: 1, secret: Buffer.alloc(16, 7), state: 'current' as const }];
    for (const { state } of this.balancers) {
      const backends = [...this.config];
      applyConfigUpdate(state, { type: 'snapshot', to, services: [service], backends, keys });
    }
  }

  private stepCaller(position: number, event: CallerEvent): void {
    const caller = this.callers[position];
    if (caller === undefined) {
      return;
    }
    for (const effect of callerStep(caller.state, event, this.network.context)) {
      if (effect.type === 'send') {
        const client = callerAddress(position);
        const { packet } = effect;
        this.network.transmit(0, () =>
          this.stepFabric({ type: 'caller-packet', packet, client, service: SERVICE_ADDRESS }),
        );
      } else if (effect.type === 'outcome') {
        caller.outcomes.push(effect.outcome);
      } else if (effect.type === 'notice') {
        caller.notices.push(effect.number);
      } else {
        caller.missed += effect.last - effect.first + 1;
      }
    }
  }

  private stepFabric(event: FabricEvent): void {
    fabricStep(this.fabric, event, this.network.context).forEach((effect) =>
      this.performFabricEffect(effect),
    );
  }

  private performFabricEffect(effect: FabricEffect): void {
    if (effect.type === 'to-balancer') {
      const { to, datagram, delayMs } = effect;
      this.network.transmit(delayMs, () => this.deliver(RETURN_ADDRESS, to, datagram));
      return;
    }
    const { client, packet, delayMs } = effect;
    const position = this.callers.findIndex(
      (_, caller) => formatAddress(callerAddress(caller)) === formatAddress(client),
    );
    this.network.transmit(delayMs, () => this.stepCaller(position, { type: 'packet', packet }));
  }

  private performBalancerEffect(
    position: number,
    balancer: VirtualBalancer,
    effect: BalancerEffect,
  ): void {
    if (effect.type === 'send') {
      const from = effect.via === 'fabric' ? balancer.front : balancer.back;
      this.send(from, effect.to, effect.datagram);
    } else if (effect.type === 'probe') {
      this.network.after(HOP_MS, () => this.probe(position, effect.backend));
    }
  }

  /** A probe also assigns the back end its ID and starts its drain if it is configured as draining. */
  private probe(balancer: number, backend: Backend): void {
    const position = this.config.findIndex(({ id }) => id === backend.id);
    const state = this.backends[position];
    if (state === undefined || isDown(state, this.network.nowMs)) {
      const result = { backendId: backend.id, health: undefined, load: undefined };
      this.stepBalancer(balancer, { type: 'probe-result', result });
      return;
    }
    const assignment = { serviceId: backend.serviceId, backendId: backend.id };
    this.stepBackend(position, { type: 'assign', assignment });
    if (backend.adminState === 'draining') {
      this.stepBackend(position, { type: 'drain' });
    }
    const health = healthReport(state, this.network.nowMs);
    const result = { backendId: backend.id, health, load: loadReport(state) };
    this.stepBalancer(balancer, { type: 'probe-result', result });
  }

  private deliver(from: Address, to: Address, datagram: Uint8Array): void {
    const target = formatAddress(to);
    if (target === formatAddress(RETURN_ADDRESS)) {
      this.stepFabric({ type: 'return-datagram', datagram });
    }
    this.balancers.forEach(({ front, back }, position) => {
      if (target === formatAddress(front)) {
        this.stepBalancer(position, { type: 'client-datagram', datagram, replyTo: from });
      } else if (target === formatAddress(back)) {
        this.stepBalancer(position, { type: 'backend-datagram', datagram });
      }
    });
    this.backends.forEach((_, position) => {
      if (target === formatAddress(backendAddress(position))) {
        const isFromBalancer = this.balancers.some(({ back }) => back === from);
        this.countOpen(position, isFromBalancer, datagram);
        this.stepBackend(position, { type: 'datagram', datagram, from });
      }
    });
  }

  private countOpen(position: number, isFromBalancer: boolean, datagram: Uint8Array): void {
    const isOpen = isFromBalancer && Buffer.from(datagram).includes('open');
    this.opens[position] = (this.opens[position] ?? 0) + (isOpen ? 1 : 0);
  }
}

/** Counts violated invariants: duplicate runs, runs of requests reported as "not run", and wrong answers. */
export function countViolations(world: World): {
  ranTwice: number;
  falseNotRun: number;
  wrongAnswers: number;
} {
  const runs = world.backends.flatMap((backend) => backend.executedRequests);
  const outcomes = world.callers.flatMap((caller) => caller.outcomes);
  const notRun = outcomes.filter((outcome) => outcome.type === 'not-run');
  return {
    ranTwice: runs.length - new Set(runs).size,
    falseNotRun: notRun.filter((outcome) => runs.includes(outcome.requestNumber)).length,
    wrongAnswers: world.callers.reduce((sum, caller) => sum + caller.state.wrongAnswers, 0),
  };
}

/** The integers from `first` to `last`, inclusive. */
export function inclusiveRange(first: number, last: number): number[] {
  return Array.from({ length: last - first + 1 }, (_, offset) => first + offset);
}

function backendAddress(position: number): Address {
  return { host: `10.5.0.${position + 1}`, port: PORT };
}

function callerAddress(position: number): Address {
  return { host: '10.6.0.1', port: PORT + position };
}
