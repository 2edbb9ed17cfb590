/**
 * @file A simulated caller: runs the stand-in's step on the virtual network and records the outcome of each request in
 * the trace. Whether an answer is right is decided by the stand-in, which compares bytes.
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

/** Where a caller's packets enter the network: the fabric. */
export interface CallerUplink {
  readonly host: string;
  handleCallerPacket(packet: Uint8Array, client: Address, service: Address): void;
}

/** What a simulated caller is started with. */
export interface SimulatedCallerOptions {
  readonly name: string;
  readonly host: string;
  readonly service: Address;
  readonly options: CallerOptions;
}

interface StandingFlow {
  readonly flow: OpenFlow;
  readonly sinceMs: number;
}

/** A caller. */
export class SimulatedCaller extends SimulatedProcess {
  readonly address: Address;
  state: CallerState;
  private readonly service: Address;
  private readonly options: CallerOptions;
  private starts = 0;
  private readonly standing = new Map<OpenFlow, StandingFlow>();

  constructor(
    simulation: Simulation,
    { name, host, service, options }: SimulatedCallerOptions,
    private readonly fabric: CallerUplink,
    /** Names the process of a back end by its ID. */
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

  /** It begins anew, with requests of other numbers. */
  protected onStart(): void {
    const { firstRequestNumber, requestCount } = this.options;
    const options = {
      ...this.options,
      firstRequestNumber: firstRequestNumber + this.starts * requestCount,
    };
    this.starts += 1;
    this.state = createCallerState(options, this.simulation.nowMs);
    this.every(TICK_INTERVAL_MS, () => this.step({ type: 'tick' }));
  }

  protected onDown(): void {
    this.standing.clear();
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
        const backend = feedFlow === undefined ? '' : this.backendOf(feedFlow);
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
      ...(flow !== undefined && { flowId: this.flowName(flow), backend: this.backendOf(flow) }),
      intact: !isWrong,
    });
  }

  /** Notes which established flows are gone though the session did not end them. */
  private recordFlows(isBroken: boolean): void {
    const { flow, retiringFlows, closedFlows } = this.state;
    const present = flow.phase === 'open' ? [...retiringFlows, flow] : retiringFlows;
    for (const [known, { sinceMs }] of this.standing) {
      if (present.includes(known)) {
        continue;
      }
      this.standing.delete(known);
      const wasEnded = closedFlows.includes(known) && !isBroken;
      if (isBroken && !wasEnded) {
        this.simulation.record({
          type: 'flow-broken',
          caller: this.name,
          flowId: this.flowName(known),
          backend: this.backendOf(known),
          establishedAtMs: sinceMs,
        });
      }
    }
    for (const open of present) {
      if (!this.standing.has(open)) {
        this.standing.set(open, { flow: open, sinceMs: this.simulation.nowMs });
      }
    }
  }

  private flowName(flow: OpenFlow): string {
    return this.simulation.flowName(Buffer.from(flow.flowId).toString('hex'));
  }

  private backendOf(flow: OpenFlow): string {
    return this.backendName(readToken(flow.token).backendId);
  }
}
