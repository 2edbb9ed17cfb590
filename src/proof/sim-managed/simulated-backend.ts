/**
 * @file A simulated back end: the step function of the stand-in on the virtual network. A restart
 * loses all state and begins a new incarnation.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { ProbeResult } from '../../managed/health/backend-report.js';
import type { ProbeEffect } from '../../managed/health/probe-schedule.js';
import type { BackendOptions } from '../standins/backend-options.js';
import {
  createBackendState,
  hasUnfinishedRequest,
  healthReport,
  loadReport,
  type BackendState,
} from '../standins/backend-state.js';
import type { BackendEvent } from '../standins/backend-step.js';
import { readPacket, serviceOf } from './packet-summary.js';
import { SimulatedProcess } from './simulated-process.js';
import type { Simulation } from './simulation.js';
import type { DatagramHandler } from '../virtual/virtual-network.js';

const TICK_INTERVAL_MS = 20;
const INCARNATION_BOUND = 2 ** 32 - 1;

/** Options of a simulated back end. */
export interface SimulatedBackendOptions {
  readonly name: string;
  readonly zone: string;
  readonly address: Address;
  readonly options: BackendOptions;
}

/** A back end process in the simulated world. */
export class SimulatedBackend extends SimulatedProcess {
  readonly address: Address;
  readonly options: BackendOptions;
  state: BackendState;
  private readonly onDatagram: DatagramHandler;

  constructor(
    simulation: Simulation,
    { name, zone, address, options }: SimulatedBackendOptions,
    /** Returns the name of the balancer at an address. */
    private readonly balancerNameAt: (address: Address) => string,
  ) {
    super(simulation, 'backend', name, address.host, zone);
    this.address = address;
    this.options = options;
    this.state = this.newState();
    this.onDatagram = (datagram, from) => this.handleDatagram(datagram, from);
  }

  /** Answers a health probe; an authoritative probe also assigns the IDs and may start a drain. */
  answerProbe({ backend, isAuthoritative }: ProbeEffect): ProbeResult {
    const assignment = { serviceId: backend.serviceId, backendId: backend.id };
    if (isAuthoritative && backend.adminState === 'draining') {
      this.step({ type: 'drain' });
    }
    if (isAuthoritative) {
      this.step({ type: 'assign', assignment });
    }
    const health = healthReport(this.state, this.simulation.nowMs);
    return { backendId: backend.id, health, load: loadReport(this.state) };
  }

  publish(number: number, payload: Uint8Array): void {
    this.step({ type: 'publish', number, payload });
  }

  /** Stops the process gracefully; the trace records requests that are still in progress. */
  stop(): void {
    if (this.status !== 'down') {
      this.completeStop(this.unfinishedRequests());
    }
  }

  protected onStart(): void {
    this.state = this.newState();
    this.simulation.network.bind(this.address, this.onDatagram);
    this.scheduleEvery(TICK_INTERVAL_MS, () => this.step({ type: 'tick' }));
  }

  protected onDown(): void {
    this.simulation.network.release(this.address, this.onDatagram);
  }

  private newState(): BackendState {
    const incarnation = 1 + this.random.nextInt(INCARNATION_BOUND);
    return createBackendState(this.options, incarnation, this.simulation.nowMs);
  }

  private unfinishedRequests(): number {
    return [...this.state.flows.values()].filter(hasUnfinishedRequest).length;
  }

  private handleDatagram(datagram: Uint8Array, from: Address): void {
    const sender = this.balancerNameAt(from);
    const arrivedAt = formatAddress(this.options.serviceAddress);
    const { keepsPackets } = this.simulation.trace;
    const packet =
      keepsPackets || serviceOf(datagram) !== arrivedAt
        ? readPacket(this.simulation, datagram)
        : undefined;
    if (packet !== undefined) {
      this.simulation.record({
        type: 'packet',
        from: sender,
        to: this.name,
        arrivedAt,
        ...packet,
      });
    }
    this.step({ type: 'datagram', datagram, from }, sender);
  }

  private step(event: BackendEvent, sender = ''): void {
    this.perform(() => {
      const { executedRequests, flows } = this.state;
      const previousRunCount = executedRequests.length;
      const previousFlowCount = flows.size;
      const context = this.simulation.contextFor(this.random);
      const effects = this.simulation.steps.backend(this.state, event, context);
      this.recordNewFlow(previousFlowCount, sender);
      this.recordRuns(previousRunCount);
      for (const { to, datagram } of effects) {
        this.simulation.network.send(this.address, to, datagram);
      }
    });
  }

  /** Records the newest flow if the step opened one; a datagram opens at most one. */
  private recordNewFlow(flowsBefore: number, via: string): void {
    const { flows } = this.state;
    const newest = flows.size > flowsBefore ? [...flows.values()].at(-1) : undefined;
    if (newest !== undefined) {
      const flowId = this.simulation.flowName(Buffer.from(newest.flowId).toString('hex'));
      this.simulation.record({ type: 'flow-accepted', backend: this.name, flowId, via });
    }
  }

  private recordRuns(previousRunCount: number): void {
    const { executedRequests, running } = this.state;
    for (const requestNumber of executedRequests.slice(previousRunCount)) {
      const record = [...running].find(({ work }) => work?.requestNumber === requestNumber);
      const flowId = Buffer.from(record?.flow.flowId ?? []).toString('hex');
      this.simulation.record({
        type: 'run',
        backend: this.name,
        flowId: this.simulation.flowName(flowId),
        requestNumber,
      });
    }
  }
}
