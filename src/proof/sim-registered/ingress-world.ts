/**
 * @file A simulated deployment of the registered mode on virtual time: control machines, balancers, back ends, clients,
 * operators and routers that hash flows over the ready balancers. A seed determines the run.
 */
import type { Address } from '../../shared/common/address.js';
import { seededRandom } from '../../shared/common/random.js';
import type { RandomSource } from '../../shared/common/step.js';
import { formatFields, type DecisionFields } from '../../registered/daemon/decision-log.js';
import type { GroupCall } from '../../registered/daemon/group-process.js';
import type { GroupReply } from '../../registered/group/group-events.js';
import { timingFor } from '../../registered/group/timing.js';
import { VirtualClock } from '../virtual/virtual-clock.js';
import { hashOfFlow } from './flow-hash.js';
import { IngressOracle } from './ingress-oracle.js';
import { SimulatedControlMachine } from './simulated-control-machine.js';
import { SimulatedIngressBalancer } from './simulated-ingress-balancer.js';
import { SIMULATED_ZONES, turnCold, zoneOfBackend } from './simulated-zones.js';
import { StandInBackend, type BackendIdentity } from './stand-in-backend.js';
import { StandInClient } from './stand-in-client.js';
import { SIMULATED_SERVICES, StandInOperator } from './stand-in-operator.js';
import { VirtualWires } from '../virtual/virtual-wires.js';
import { createZoneOperator, type ZoneOperator } from './zone-operator.js';
import { oracleBoundsOf, type IngressWorldOptions, type IngressWorldParts } from './world-parts.js';
import {
  SEED_COUNT,
  LONG_FLOW_REQUESTS,
  PROBE_INTERVAL_MS,
  MAX_MISSED_PROBES,
} from './deployment-constants.js';

const CONTROL_PORT = 7_700;
const BACKEND_PORT = 9_000;
const CALL_DELAY_MS = 1;

/** The simulated deployment; owns the clock, the network and all processes. */
export class IngressWorld {
  readonly clock = new VirtualClock();
  readonly random: RandomSource;
  readonly wires: VirtualWires;
  readonly oracle: IngressOracle;
  readonly controls: SimulatedControlMachine[] = [];
  readonly balancers: SimulatedIngressBalancer[] = [];
  readonly backends: StandInBackend[] = [];
  readonly clients: StandInClient[] = [];
  readonly operator: StandInOperator;
  readonly zoneOperator: ZoneOperator;
  /** Log of faults and of the decisions of all processes. */
  readonly log: string[] = [];
  private readonly parts: IngressWorldParts;
  private readonly missedProbes = new Map<string, number>();
  /** Last control machine called, by caller. */
  private readonly lastCalled = new Map<string, SimulatedControlMachine>();
  private nextBackendNumber = 1;
  private nextControlNumber = 1;

  constructor(
    seed: number,
    readonly options: IngressWorldOptions,
  ) {
    this.random = seededRandom(seed);
    this.wires = new VirtualWires(this.clock, this.random);
    this.oracle = new IngressOracle(oracleBoundsOf(options));
    this.parts = {
      clock: this.clock,
      random: this.random,
      wires: this.wires,
      oracle: this.oracle,
      options,
      timing: timingFor({
        contactMs: options.contactMs,
        applyMs: options.applyBoundMs,
        drainMs: options.drainBoundMs,
      }),
      logDecision: (host, name, fields) => this.logDecision(host, name, fields),
    };
    const seeds = Array.from({ length: SEED_COUNT }, (_, index) => controlAddress(index + 1));
    for (let index = 0; index < options.controlCount; index += 1) {
      this.addControl(seeds);
    }
    this.operator = new StandInOperator(this.callControl, this.parts);
    this.zoneOperator = createZoneOperator({
      ...this.parts,
      callControl: this.callControl,
      ackLossShare: () => this.operator.ackLossShare,
      beforeReadmission: (zone) => turnCold(this.backends, zone),
    });
    for (let index = 0; index < options.balancerCount; index += 1) {
      this.addBalancer();
    }
    for (let index = 0; index < options.backendCount; index += 1) {
      this.addBackend(SIMULATED_SERVICES[index % SIMULATED_SERVICES.length] ?? 'alpha');
    }
  }

  /** Starts all machines and declares the first configuration. */
  start(): void {
    this.controls.forEach((control) => control.start(true));
    this.balancers.forEach((balancer) => balancer.start());
    this.probe();
    this.operator.declareNext();
  }

  /** Starts the clients; every second one sends many requests per flow. */
  startClients(): void {
    for (let index = 0; index < this.options.clientCount; index += 1) {
      const requestsPerFlow = index % 2 === 0 ? 1 : LONG_FLOW_REQUESTS;
      const client = new StandInClient(`100.64.0.${index + 1}`, requestsPerFlow, this, this.parts);
      this.clients.push(client);
      client.start();
    }
  }

  async run(durationMs: number): Promise<void> {
    await this.clock.runUntil(this.clock.nowMs + durationMs);
  }

  /** Adds a control machine with an empty disk, without starting it. */
  addControl(seeds: readonly Address[]): SimulatedControlMachine {
    const address = controlAddress(this.nextControlNumber);
    const zone = SIMULATED_ZONES[this.nextControlNumber % SIMULATED_ZONES.length] ?? 'zone-a';
    this.nextControlNumber += 1;
    const control = new SimulatedControlMachine(address, zone, seeds, this.parts);
    this.controls.push(control);
    return control;
  }

  /** Starts a new back end, at an unused address by default. */
  addBackend(service: string, address?: Address): StandInBackend {
    const number = this.nextBackendNumber;
    this.nextBackendNumber += 1;
    return this.startBackend({
      id: `backend-${number}`,
      number,
      service,
      address: address ?? { host: `10.0.2.${number}`, port: BACKEND_PORT },
      zone: zoneOfBackend(number),
    });
  }

  /** Crashes a back end and restarts it under its ID, at its address by default. */
  restartBackend(backend: StandInBackend, address?: Address): StandInBackend {
    const { identity } = backend;
    const startNumber = (identity.startNumber ?? 0) + 1;
    backend.crash();
    return this.startBackend({
      ...identity,
      ...(address !== undefined && { address, addressSinceStart: startNumber }),
      startNumber,
      startedAtMs: Math.round(this.clock.nowMs),
    });
  }

  private startBackend(identity: BackendIdentity): StandInBackend {
    const backend = new StandInBackend(identity, this.parts, this.callControl, (route, ofService) =>
      this.operator.newestVersion(route, ofService),
    );
    this.backends.push(backend);
    return backend;
  }

  /** Hashes a flow over the balancers in rotation, or over all if fewer than half are in rotation. */
  pickBalancer(flow: string): Address | undefined {
    const inRotation = this.balancers.filter(
      ({ host }) => (this.missedProbes.get(host) ?? 0) < MAX_MISSED_PROBES,
    );
    const pool = inRotation.length * 2 < this.balancers.length ? this.balancers : inRotation;
    return pool[hashOfFlow(flow) % pool.length]?.packetAddress;
  }

  isHeldOpen(client: string, acceptNumber: number): boolean {
    return this.backends.some((backend) => backend.holdsOpen(client, acceptNumber));
  }

  routes(): readonly Address[] {
    return this.operator.routes();
  }

  /** Reads the configuration and the zones from each running control machine and checks them. */
  readBackFromAll(): void {
    for (const control of this.controls.filter(({ isRunning }) => isRunning)) {
      control.call({ type: 'read-config' }, (reply) => {
        if (reply.type === 'config') {
          this.oracle.checkFinalRead(reply.document?.version ?? 0, this.clock.nowMs);
        }
      });
      control.call({ type: 'read-zones' }, (reply) => {
        if (reply.type === 'zones') {
          reply.zones.forEach(({ zone, isEvacuated }) =>
            this.oracle.checkFinalZone(zone, isEvacuated, this.clock.nowMs),
          );
        }
      });
    }
  }

  private addBalancer(): void {
    const number = this.balancers.length + 1;
    const zone = SIMULATED_ZONES[number % SIMULATED_ZONES.length] ?? 'zone-a';
    const seeds = this.controls.slice(0, SEED_COUNT).map(({ address }) => address);
    const balancer = new SimulatedIngressBalancer(`10.0.3.${number}`, zone, seeds, this.parts);
    this.balancers.push(balancer);
  }

  /** Sends a call to a random control machine, running or not, other than the last one of the caller. */
  private readonly callControl = (
    fromHost: string,
    call: GroupCall,
    answer: (reply: GroupReply) => void,
  ): void => {
    const control = this.pickControl(fromHost);
    this.clock.after(CALL_DELAY_MS, () => {
      if (control?.isRunning !== true || !this.wires.canReach(fromHost, control.address.host)) {
        return;
      }
      control.call(call, (reply) => {
        this.clock.after(CALL_DELAY_MS, () => {
          if (this.wires.canReach(control.address.host, fromHost)) {
            answer(reply);
          }
        });
      });
    });
  };

  private pickControl(fromHost: string): SimulatedControlMachine | undefined {
    const last = this.lastCalled.get(fromHost);
    const others = this.controls.filter((control) => control !== last);
    const pool = others.length > 0 ? others : this.controls;
    const control = pool[this.random.nextInt(pool.length)];
    if (control !== undefined) {
      this.lastCalled.set(fromHost, control);
    }
    return control;
  }

  private probe(): void {
    for (const { host, isReady } of this.balancers) {
      this.missedProbes.set(host, isReady ? 0 : (this.missedProbes.get(host) ?? 0) + 1);
    }
    this.clock.after(PROBE_INTERVAL_MS, () => this.probe());
  }

  private logDecision(host: string, name: string, fields: DecisionFields): void {
    this.log.push(`${this.clock.nowMs.toFixed(0)} ${host} ${name} ${formatFields(fields)}`);
  }
}

function controlAddress(number: number): Address {
  return { host: `10.0.1.${number}`, port: CONTROL_PORT };
}
