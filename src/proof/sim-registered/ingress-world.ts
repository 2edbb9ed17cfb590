/**
 * @file A simulated deployment of the registered pair: control machines, balancers, back ends, clients behind routers that hash by the number of
 * balancers, and an operator, on virtual time. Owns the clock, the wires and all processes; one seed gives one run.
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
  MISSES_UNTIL_OUT,
} from './deployment-constants.js';

const CONTROL_PORT = 7_700;
const BACKEND_PORT = 9_000;
const CALL_DELAY_MS = 1;

/** The whole deployment. */
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
  /** Lines of decisions, kept for the search for a cause. */
  readonly log: string[] = [];
  private readonly parts: IngressWorldParts;
  private readonly misses = new Map<string, number>();
  /** The control machine that each caller called last. */
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
      note: (host, name, fields) => this.note(host, name, fields),
    };
    const seeds = Array.from({ length: SEED_COUNT }, (_, index) => controlAddress(index + 1));
    for (let index = 0; index < options.controlCount; index += 1) {
      this.addControl(seeds);
    }
    this.operator = new StandInOperator(this.callControl, this.parts);
    this.zoneOperator = createZoneOperator({
      ...this.parts,
      callControl: this.callControl,
      ackLostShare: () => this.operator.lostShare,
      beforeReadmission: (zone) => turnCold(this.backends, zone),
    });
    for (let index = 0; index < options.balancerCount; index += 1) {
      this.addBalancer();
    }
    for (let index = 0; index < options.backendCount; index += 1) {
      this.addBackend(SIMULATED_SERVICES[index % SIMULATED_SERVICES.length] ?? 'alpha');
    }
  }

  /** Starts all machines and the operator's first configuration. */
  start(): void {
    this.controls.forEach((control) => control.start(true));
    this.balancers.forEach((balancer) => balancer.start());
    this.probe();
    this.operator.declareNext();
  }

  /** Starts the clients. */
  startClients(): void {
    for (let index = 0; index < this.options.clientCount; index += 1) {
      const requestsPerFlow = index % 2 === 0 ? 1 : LONG_FLOW_REQUESTS;
      const client = new StandInClient(`100.64.0.${index + 1}`, requestsPerFlow, this, this.parts);
      this.clients.push(client);
      client.start();
    }
  }

  async run(forMs: number): Promise<void> {
    await this.clock.runUntil(this.clock.nowMs + forMs);
  }

  /** Adds a control machine with an empty disk; it is not started. */
  addControl(seeds: readonly Address[]): SimulatedControlMachine {
    const address = controlAddress(this.nextControlNumber);
    const zone = SIMULATED_ZONES[this.nextControlNumber % SIMULATED_ZONES.length] ?? 'zone-a';
    this.nextControlNumber += 1;
    const control = new SimulatedControlMachine(address, zone, seeds, this.parts);
    this.controls.push(control);
    return control;
  }

  /** Starts a back end, at the address of one that is gone where one is given. */
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

  /** A back end ends without a word and starts again under its ID, at its address or another one. */
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

  /** Routers hash by the number of balancers that are in. */
  pickBalancer(flow: string): Address | undefined {
    const inUse = this.balancers.filter(
      ({ host }) => (this.misses.get(host) ?? 0) < MISSES_UNTIL_OUT,
    );
    const pool = inUse.length * 2 < this.balancers.length ? this.balancers : inUse;
    return pool[hashOfFlow(flow) % pool.length]?.packetAddress;
  }

  isHeldOpen(client: string, acceptNumber: number): boolean {
    return this.backends.some((backend) => backend.holdsOpen(client, acceptNumber));
  }

  routes(): readonly Address[] {
    return this.operator.routes();
  }

  /** Asks every running control machine for the configuration, until each has answered or time is up. */
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

  /** A call goes to any control machine, also to dead ones, but not to the caller's last one again. */
  private readonly callControl = (
    fromHost: string,
    call: GroupCall,
    answer: (reply: GroupReply) => void,
  ): void => {
    const control = this.pickControl(fromHost);
    this.clock.after(CALL_DELAY_MS, () => {
      if (control?.isRunning !== true || !this.wires.reaches(fromHost, control.address.host)) {
        return;
      }
      control.call(call, (reply) => {
        this.clock.after(CALL_DELAY_MS, () => {
          if (this.wires.reaches(control.address.host, fromHost)) {
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
      this.misses.set(host, isReady ? 0 : (this.misses.get(host) ?? 0) + 1);
    }
    this.clock.after(PROBE_INTERVAL_MS, () => this.probe());
  }

  private note(host: string, name: string, fields: DecisionFields): void {
    this.log.push(`${this.clock.nowMs.toFixed(0)} ${host} ${name} ${formatFields(fields)}`);
  }
}

function controlAddress(number: number): Address {
  return { host: `10.0.1.${number}`, port: CONTROL_PORT };
}
