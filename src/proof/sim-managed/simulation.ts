/**
 * @file State shared by all simulated processes: clock, network, trace, random sources and link
 * listeners.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { seededRandom } from '../../shared/common/random.js';
import type { RandomSource, StepContext } from '../../shared/common/step.js';
import type { SimulatedSteps } from './simulated-steps.js';
import { Trace, type TraceEventData, type TraceListener } from './trace.js';
import { VirtualClock } from '../virtual/virtual-clock.js';
import type { VirtualLinkEnd } from '../virtual/virtual-links.js';
import { VirtualNetwork } from '../virtual/virtual-network.js';

const SEED_BOUND = 2 ** 31;
/** Wall-clock time at the start, in Unix milliseconds. */
const START_WALL_TIME_MS = Date.UTC(2026, 11, 2);
const DELAYS = { withinZoneMs: 0.2, betweenZonesMs: 0.5 };

/** Accepts links that are opened to an address. */
export interface LinkListener {
  readonly host: string;
  /** True while the process accepts links. */
  isListening(): boolean;
  /** @returns the handlers of the accepting end, whose `opened` is called with that end */
  accept(): LinkAcceptor;
}

/** Handlers of the accepting end of a new link. */
export interface LinkAcceptor {
  opened(end: VirtualLinkEnd): void;
  onMessage(message: unknown): void;
  onClose(): void;
}

/** Shared state of one run. */
export class Simulation {
  readonly clock = new VirtualClock();
  readonly network: VirtualNetwork;
  readonly trace: Trace;
  readonly random: RandomSource;
  readonly linkListeners = new Map<string, LinkListener>();
  private readonly flowIds = new Map<string, string>();

  constructor(
    seed: number,
    readonly steps: SimulatedSteps,
    listener: TraceListener,
    keepsPackets: boolean,
  ) {
    this.random = seededRandom(seed);
    this.network = new VirtualNetwork(this.clock, this.fork(), DELAYS);
    this.trace = new Trace(() => this.clock.nowMs, listener, keepsPackets);
  }

  get nowMs(): number {
    return this.clock.nowMs;
  }

  get wallTimeMs(): number {
    return START_WALL_TIME_MS + Math.floor(this.clock.nowMs);
  }

  /** @returns an independent random source, so that draws of one process do not affect another */
  fork(): RandomSource {
    return seededRandom(this.random.nextInt(SEED_BOUND));
  }

  contextFor(random: RandomSource): StepContext {
    return { nowMs: this.clock.nowMs, random };
  }

  record(fact: TraceEventData): void {
    this.trace.record(fact);
  }

  listen(address: Address, listener: LinkListener): void {
    this.linkListeners.set(formatAddress(address), listener);
  }

  /** @returns the short name of a flow in the trace, given its ID in hex */
  flowName(flowId: string): string {
    const existing = this.flowIds.get(flowId);
    if (existing !== undefined) {
      return existing;
    }
    const name = `flow-${this.flowIds.size + 1}`;
    this.flowIds.set(flowId, name);
    return name;
  }
}
