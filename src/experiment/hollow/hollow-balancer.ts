/**
 * @file A hollow balancer: the real decision step without sockets. Probes are counted and not answered.
 */
import { match } from 'ts-pattern';
import { formatAddress, type Address } from '../../common/address.js';
import type { BalancerEffect, BalancerEvent } from '../../balancer/balancer-events.js';
import {
  createBalancerState,
  defaultBalancerOptions,
  type BalancerState,
} from '../../balancer/balancer-state.js';
import { balancerStep } from '../../balancer/balancer-step.js';
import type { ControlToBalancerMessage } from '../../dissemination/link-messages.js';
import type { HollowLink } from './hollow-link.js';
import type { Place } from './places.js';
import { contextOf, type HollowSurroundings } from './surroundings.js';
import type { WireMessage } from './wire.js';

/** How long a connection to a machine that does not answer is tried, in milliseconds. */
const CONNECT_TIMEOUT_MS = 3_000;

/** What a hollow balancer is made of. */
export interface HollowBalancerOptions {
  readonly number: number;
  readonly place: Place;
  readonly clusterKey: string;
  /** Control machines in the order in which this balancer tries them. */
  readonly controlAddresses: readonly Address[];
  /** Time between two ticks; the daemon's is 20 ms. */
  readonly tickIntervalMs: number;
}

/** One hollow balancer. */
export class HollowBalancer {
  readonly nodeId: string;
  readonly place: Place;
  state: BalancerState;
  isUp = false;
  /** Probes that the step asked for. */
  probeCount = 0;
  private link: HollowLink | undefined;
  private generation = 0;

  constructor(
    private readonly surroundings: HollowSurroundings,
    private readonly options: HollowBalancerOptions,
  ) {
    this.nodeId = `balancer-${options.number + 1}`;
    this.place = options.place;
    this.state = this.newState();
  }

  /** Starts the process, with nothing but its settings. */
  start(): void {
    this.state = this.newState();
    this.isUp = true;
    this.generation += 1;
    const { generation } = this;
    const { tickIntervalMs } = this.options;
    const { queue, random } = this.surroundings;
    queue.every(random.nextFloat() * tickIntervalMs, tickIntervalMs, () => {
      if (this.generation === generation && this.isUp) {
        this.tick();
      }
      return this.generation === generation && this.isUp;
    });
  }

  /** Ends the process at once. */
  kill(): void {
    this.isUp = false;
    this.link?.closeFrom('balancer');
    this.link = undefined;
  }

  /** Takes a message of a control machine. */
  receive(link: HollowLink, wire: WireMessage): void {
    if (link !== this.link || !this.isUp) {
      return;
    }
    const { meter } = this.surroundings;
    meter.of('balancer').stepMs += wire.decodeMs;
    meter.countReceived('balancer', wire.kind, wire.bytes);
    this.step({
      type: 'link-message',
      linkId: link.balancerLinkId,
      message: wire.decoded as ControlToBalancerMessage,
    });
  }

  /** The other end closed the link. */
  linkClosed(link: HollowLink): void {
    if (link === this.link && this.isUp) {
      this.link = undefined;
      this.step({ type: 'link-closed', linkId: link.balancerLinkId });
    }
  }

  private newState(): BalancerState {
    const { clusterKey, controlAddresses } = this.options;
    return createBalancerState({
      ...defaultBalancerOptions,
      balancerId: this.nodeId,
      zone: this.place.zone,
      controlAddresses,
      clusterKey,
    });
  }

  private tick(): void {
    const usage = this.surroundings.meter.of('balancer');
    const startMs = performance.now();
    const effects = balancerStep(this.state, { type: 'tick' }, contextOf(this.surroundings));
    usage.tickMs += performance.now() - startMs;
    usage.ticks += 1;
    effects.forEach((effect) => this.perform(effect));
  }

  private step(event: BalancerEvent): void {
    const before = this.state.position.index;
    const startMs = performance.now();
    const effects = balancerStep(this.state, event, contextOf(this.surroundings));
    this.surroundings.meter.of('balancer').stepMs += performance.now() - startMs;
    if (this.state.position.index > before) {
      this.surroundings.onInForce(this.options.number, this.state.position.index);
    }
    effects.forEach((effect) => this.perform(effect));
  }

  private perform(effect: BalancerEffect): void {
    match(effect)
      .with({ type: 'link-open' }, ({ linkId, address }) => this.openLink(linkId, address))
      .with({ type: 'link-send' }, ({ message }) => this.link?.toControl(message, message.type))
      .with({ type: 'probe' }, () => {
        this.probeCount += 1;
      })
      .with({ type: 'send' }, { type: 'peer-send' }, { type: 'gossip-send' }, () => undefined)
      .exhaustive();
  }

  private openLink(linkId: number, address: Address): void {
    const { queue, network, controlsByAddress } = this.surroundings;
    this.link?.closeFrom('balancer');
    this.link = undefined;
    const control = controlsByAddress.get(formatAddress(address));
    const { generation } = this;
    const closed = () => {
      if (this.generation === generation && this.isUp && this.link === undefined) {
        this.step({ type: 'link-closed', linkId });
      }
    };
    const isReachable =
      control !== undefined &&
      network.connects(this.place, control.place) &&
      !network.isCutOff(control.nodeId);
    if (!isReachable) {
      queue.after(CONNECT_TIMEOUT_MS, closed);
      return;
    }
    if (!control.isUp) {
      queue.after(2 * network.delayMs(this.place, control.place), closed);
      return;
    }
    this.link = control.acceptLink(this, linkId);
    this.step({ type: 'link-opened', linkId });
  }
}
