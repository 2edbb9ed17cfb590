/**
 * @file A simulated caller: runs the step function of the stand-in on the virtual network and
 * records the outcome of each request in the trace. The stand-in compares the bytes of each answer
 * with the expected ones.
 */
import { match } from 'ts-pattern';
import type { Address } from '../../shared/common/address.js';
import { readToken } from '../../managed/flow/token.js';
import {
  createCallerState,
  type CallerEffect,
  type CallerOptions,
  type CallerState,
  type OpenFlow,
  type RequestOutcome,
} from '../standins/caller-state.js';
import type { CallerEvent } from '../standins/caller-step.js';
import { noticePayload } from './notice-payload.js';
import { SimulatedProcess } from './simulated-process.js';
import type { Simulation } from './simulation.js';

const TICK_INTERVAL_MS = 50;
const PORT = 6000;
const ZONE = 'zone-a';

/** Entry point of the packets of callers into the network, which is the fabric. */
export interface CallerUplink {
  readonly host: string;
  handleCallerPacket(packet: Uint8Array, client: Address, service: Address): void;
}

/** Options of a simulated caller. */
export interface SimulatedCallerOptions {
  readonly name: string;
  readonly host: string;
  readonly service: Address;
  readonly options: CallerOptions;
}

interface EstablishedFlow {
  readonly flow: OpenFlow;
  readonly establishedAtMs: number;
}

/** A caller process in the simulated world. */
export class SimulatedCaller extends SimulatedProcess {
  readonly address: Address;
  state: CallerState;
  private readonly service: Address;
  private readonly options: CallerOptions;
  private startCount = 0;
  private readonly establishedFlows = new Map<OpenFlow, EstablishedFlow>();

  constructor(
    simulation: Simulation,
    { name, host, service, options }: SimulatedCallerOptions,
    private readonly fabric: CallerUplink,
    /** Returns the process name of the back end with an ID. */
    private readonly backendName: (backendId: number) => string,
  ) {
    super(simulation, 'caller', name, host, ZONE);
    this.address = { host, port: PORT };
    this.service = service;
    this.options = options;
    this.state = createCallerState(options, simulation.nowMs);
  }

  handlePacket(packet: Uint8Array): void {
    this.step({ type: 'packet', packet });
  }

  /** Starts with new request numbers, since the requests of earlier starts are lost. */
  protected onStart(): void {
    const { firstRequestNumber, requestCount } = this.options;
    const options = {
      ...this.options,
      firstRequestNumber: firstRequestNumber + this.startCount * requestCount,
    };
    this.startCount += 1;
    this.state = createCallerState(options, this.simulation.nowMs);
    this.scheduleEvery(TICK_INTERVAL_MS, () => this.step({ type: 'tick' }));
  }

  protected onDown(): void {
    this.establishedFlows.clear();
  }

  private step(event: CallerEvent): void {
    this.perform(() => {
      if (this.state.finished) {
        return;
      }
      const { brokenFlows, wrongAnswers, request, feed } = this.state;
      const requestFlow = request?.flow;
      const feedFlow = feed?.current?.flow;
      const context = this.simulation.contextFor(this.random);
      const effects = this.simulation.steps.caller(this.state, event, context);
      const isWrong = this.state.wrongAnswers > wrongAnswers;
      for (const effect of effects) {
        this.performEffect(effect, requestFlow, feedFlow, isWrong);
      }
      this.recordFlows(this.state.brokenFlows > brokenFlows);
    });
  }

  private performEffect(
    effect: CallerEffect,
    requestFlow: OpenFlow | undefined,
    feedFlow: OpenFlow | undefined,
    isWrong: boolean,
  ): void {
    match(effect)
      .with({ type: 'send' }, ({ packet }) => this.send(packet))
      .with({ type: 'outcome' }, ({ outcome }) => this.recordOutcome(outcome, requestFlow, isWrong))
      .with({ type: 'notice' }, ({ number, payload }) => {
        const { serviceName } = this.state.options;
        const intact = Buffer.compare(payload, noticePayload(serviceName, number)) === 0;
        this.simulation.record({ type: 'notice', caller: this.name, number, intact });
      })
      .with({ type: 'notices-missed' }, ({ first, last }) => {
        const backend = feedFlow === undefined ? '' : this.backendNameOf(feedFlow);
        this.simulation.record({
          type: 'notices-missed',
          caller: this.name,
          first,
          last,
          backend,
        });
      })
      .exhaustive();
  }

  private send(packet: Uint8Array): void {
    const { network } = this.simulation;
    if (!network.isCut(this.host, this.fabric.host)) {
      network.transmit(0, () => this.fabric.handleCallerPacket(packet, this.address, this.service));
    }
  }

  private recordOutcome(
    outcome: RequestOutcome,
    flow: OpenFlow | undefined,
    isWrong: boolean,
  ): void {
    const { type, requestNumber } = outcome;
    this.simulation.record({
      type: 'outcome',
      caller: this.name,
      requestNumber,
      outcome: type,
      ...(type !== 'answered' && { errorKind: outcome.kind }),
      ...(flow !== undefined && { flowId: this.flowName(flow), backend: this.backendNameOf(flow) }),
      intact: !isWrong,
    });
  }

  /** Records established flows that were lost without being closed by the session. */
  private recordFlows(isBroken: boolean): void {
    const { flow, retiringFlows, closedFlows } = this.state;
    const openFlows = flow.phase === 'open' ? [...retiringFlows, flow] : retiringFlows;
    for (const [established, { establishedAtMs }] of this.establishedFlows) {
      if (openFlows.includes(established)) {
        continue;
      }
      this.establishedFlows.delete(established);
      const wasClosed = closedFlows.includes(established) && !isBroken;
      if (isBroken && !wasClosed) {
        this.simulation.record({
          type: 'flow-broken',
          caller: this.name,
          flowId: this.flowName(established),
          backend: this.backendNameOf(established),
          establishedAtMs,
        });
      }
    }
    for (const open of openFlows) {
      if (!this.establishedFlows.has(open)) {
        this.establishedFlows.set(open, { flow: open, establishedAtMs: this.simulation.nowMs });
      }
    }
  }

  private flowName(flow: OpenFlow): string {
    return this.simulation.flowName(Buffer.from(flow.flowId).toString('hex'));
  }

  private backendNameOf(flow: OpenFlow): string {
    return this.backendName(readToken(flow.token).backendId);
  }
}
