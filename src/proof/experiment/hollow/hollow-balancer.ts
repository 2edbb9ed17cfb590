/**
 * @file A hollow balancer: the real decision step without sockets. Back ends are hollow too: each answers
 * every probe that it is ready, with some load.
 */
import { match } from 'ts-pattern';
import { formatAddress, type Address } from '../../../shared/common/address.js';
import type { BalancerEffect, BalancerEvent } from '../../../managed/balancer/balancer-events.js';
import {
  createBalancerState,
  type BalancerState,
} from '../../../managed/balancer/balancer-state.js';
import { defaultBalancerOptions } from '../../../managed/balancer/balancer-options.js';
import { balancerStep } from '../../../managed/balancer/balancer-step.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
} from '../../../managed/dissemination/link-messages.js';
import type { PeerDatagram } from '../../../managed/gossip/gossip-messages.js';
import { gossipAddress, type MemberAddresses } from '../../../managed/gossip/member.js';
import type { Backend } from '../../../managed/control/routing-config.js';
import type { ProbeResult } from '../../../managed/health/backend-report.js';
import { HollowLink, type LinkClient, type LinkServerEnd } from './hollow-link.js';
import type { HollowRole } from './meter.js';
import type { Place } from './places.js';
import { contextOf, type HollowSurroundings } from './surroundings.js';
import type { WireMessage } from './wire.js';

/** How long a connection to a machine that does not answer is tried, in milliseconds. */
const CONNECT_TIMEOUT_MS = 3_000;
const MS_PER_SECOND = 1_000;
/** Flows that a hollow back end may hold, and its slots, as in the brief. */
const HOLLOW_CONNECTION_LIMIT = 2_000;
const HOLLOW_SLOTS = 2;

/** What a hollow balancer is made of. */
export interface HollowBalancerOptions {
  readonly number: number;
  readonly place: Place;
  readonly clusterKey: string;
  /** Control machines in the order in which this balancer tries them. */
  readonly controlAddresses: readonly Address[];
  readonly addresses: MemberAddresses;
  /** Gossip addresses of other balancers. */
  readonly seeds: readonly Address[];
  /** Time between two ticks; the daemon's is 20 ms. */
  readonly tickIntervalMs: number;
}

/** One hollow balancer. */
export class HollowBalancer implements LinkClient, LinkServerEnd {
  readonly nodeId: string;
  readonly place: Place;
  state: BalancerState;
  isUp = false;
  private link: HollowLink | undefined;
  private linkId = 0;
  /** Balancers that get the configuration from this one, by the name of the link here. */
  private readonly servedLinks = new Map<number, HollowLink>();
  private nextLinkId = 1;
  private generation = 0;

  constructor(
    private readonly surroundings: HollowSurroundings,
    private readonly options: HollowBalancerOptions,
  ) {
    this.nodeId = `balancer-${options.number + 1}`;
    this.place = options.place;
    this.state = this.newState();
  }

  /** What this balancer does at present. */
  get role(): HollowRole {
    return this.servedLinks.size > 0 ? 'relay' : 'balancer';
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
    this.link?.closeFromClient();
    this.link = undefined;
    this.servedLinks.forEach((link) => link.closeFromServer());
    this.servedLinks.clear();
  }

  /** Takes a message of the node that it gets the configuration from. */
  receiveFromServer(link: HollowLink, wire: WireMessage): void {
    if (link !== this.link || !this.isUp) {
      return;
    }
    this.surroundings.meter.countReceived(this.role, wire);
    this.step({
      type: 'link-message',
      linkId: this.linkId,
      message: wire.decoded as ControlToBalancerMessage,
    });
  }

  /** The other end closed the link. */
  serverClosed(link: HollowLink): void {
    if (link === this.link && this.isUp) {
      this.link = undefined;
      this.step({ type: 'link-closed', linkId: this.linkId });
    }
  }

  /** Another balancer connects. */
  acceptLink(client: LinkClient): HollowLink {
    const linkId = this.nextLinkId;
    this.nextLinkId += 1;
    const link = new HollowLink(this.surroundings, client, this, linkId);
    this.servedLinks.set(linkId, link);
    return link;
  }

  /** Takes a message of a balancer that gets the configuration from this one. */
  receiveFromClient(link: HollowLink, wire: WireMessage): void {
    if (this.servedLinks.has(link.serverLinkId)) {
      this.surroundings.meter.countReceived(this.role, wire);
      const message = wire.decoded as BalancerToControlMessage;
      this.step({ type: 'peer-message', linkId: link.serverLinkId, message });
    }
  }

  /** That balancer closed its link. */
  clientClosed(link: HollowLink): void {
    if (this.servedLinks.delete(link.serverLinkId) && this.isUp) {
      this.step({ type: 'peer-closed', linkId: link.serverLinkId });
    }
  }

  private newState(): BalancerState {
    const { clusterKey, controlAddresses, addresses, seeds } = this.options;
    const incarnation = Math.floor(this.surroundings.queue.nowMs / MS_PER_SECOND) + 1;
    return createBalancerState({
      ...defaultBalancerOptions,
      balancerId: this.nodeId,
      zone: this.place.zone,
      controlAddresses,
      clusterKey,
      gossip: { ...addresses, incarnation, seeds },
    });
  }

  private tick(): void {
    const usage = this.surroundings.meter.of(this.role);
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
    this.surroundings.meter.of(this.role).stepMs += performance.now() - startMs;
    if (this.state.position.index > before) {
      this.surroundings.onInForce(this.options.number, this.state.position.index);
    }
    effects.forEach((effect) => this.perform(effect));
  }

  private perform(effect: BalancerEffect): void {
    match(effect)
      .with({ type: 'link-open' }, ({ linkId, address }) => this.openLink(linkId, address))
      .with({ type: 'link-send' }, ({ message }) => this.link?.toServer(message, message.type))
      .with({ type: 'probe' }, ({ backend }) => this.probe(backend))
      .with({ type: 'peer-send' }, ({ linkId, message }) =>
        this.servedLinks.get(linkId)?.toClient(message),
      )
      .with({ type: 'gossip-send' }, ({ to, message }) => this.gossip(to, message))
      .with({ type: 'send' }, () => undefined)
      .exhaustive();
  }

  private gossip(to: Address, message: PeerDatagram): void {
    const { queue, network, wire, meter, gossipKey, balancersByGossipAddress } = this.surroundings;
    const passed = wire.passGossip(message, gossipKey);
    meter.countSent(this.role, passed);
    const peer = balancersByGossipAddress.get(formatAddress(to));
    if (peer === undefined) {
      return;
    }
    queue.after(network.delayMs(this.place, peer.place), () => {
      if (peer.isUp && network.connectsNodes(this, peer)) {
        meter.countReceived(peer.role, passed);
        const from = gossipAddress(this.options.addresses);
        peer.step({ type: 'gossip', message: passed.decoded as PeerDatagram, from });
      }
    });
  }

  private probe(backend: Backend): void {
    const { queue, network, meter, placesByZone, random } = this.surroundings;
    meter.of(this.role).probes += 1;
    const place = placesByZone.get(backend.zone);
    if (place === undefined) {
      return;
    }
    const { generation } = this;
    queue.after(2 * network.delayMs(this.place, place), () => {
      if (this.isUp && this.generation === generation) {
        const isReached = network.connectsNodes(this, { nodeId: `backend-${backend.id}`, place });
        const connections = random.nextInt(HOLLOW_CONNECTION_LIMIT);
        this.step({ type: 'probe-result', result: probeResult(backend, isReached, connections) });
      }
    });
  }

  private openLink(linkId: number, address: Address): void {
    const { queue, network, linkServersByAddress } = this.surroundings;
    this.link?.closeFromClient();
    this.link = undefined;
    this.linkId = linkId;
    const server = linkServersByAddress.get(formatAddress(address));
    const { generation } = this;
    const closed = () => {
      if (this.generation === generation && this.isUp && this.linkId === linkId) {
        this.step({ type: 'link-closed', linkId });
      }
    };
    if (server === undefined || !network.connectsNodes(this, server)) {
      queue.after(CONNECT_TIMEOUT_MS, closed);
      return;
    }
    if (!server.isUp) {
      queue.after(2 * network.delayMs(this.place, server.place), closed);
      return;
    }
    this.link = server.acceptLink(this);
    this.step({ type: 'link-opened', linkId });
  }
}

function probeResult(backend: Backend, isReached: boolean, connections: number): ProbeResult {
  const backendId = backend.id;
  if (!isReached) {
    return { backendId, health: undefined, load: undefined };
  }
  return {
    backendId,
    health: { backendId, incarnation: 1, state: 'ready' },
    load: {
      connections,
      connectionLimit: HOLLOW_CONNECTION_LIMIT,
      busySlots: connections % HOLLOW_SLOTS,
      slots: HOLLOW_SLOTS,
      queuedRequests: 0,
    },
  };
}
