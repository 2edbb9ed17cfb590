/**
 * @file A simulated balancer: the step function of the daemon on virtual sockets and links. A
 * restart loses all state.
 */
import { match } from 'ts-pattern';
import type { BalancerEffect, BalancerEvent } from '../../managed/balancer/balancer-events.js';
import { createBalancerState, type BalancerState } from '../../managed/balancer/balancer-state.js';
import { defaultBalancerOptions } from '../../managed/balancer/balancer-options.js';
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { ControlToBalancerMessage } from '../../managed/dissemination/link-messages.js';
import type { ProbeEffect } from '../../managed/health/probe-schedule.js';
import { configDigest } from './config-digest.js';
import { SimulatedPeerSockets } from './simulated-peer-sockets.js';
import { SimulatedProcess } from './simulated-process.js';
import type { Simulation } from './simulation.js';
import { probeSimulatedBackend, type BackendDirectory } from './simulated-probe.js';
import { connectVirtualLink, type VirtualLinkEnd } from '../virtual/virtual-links.js';
import type { DatagramHandler } from '../virtual/virtual-network.js';

const TICK_INTERVAL_MS = 20;
const STOP_POLL_INTERVAL_MS = 50;
const MILLISECONDS_PER_SECOND = 1_000;
const PORT = 5000;

/** Options of a simulated balancer. */
export interface SimulatedBalancerOptions {
  readonly name: string;
  readonly host: string;
  readonly zone: string;
  readonly controlAddresses: readonly Address[];
  readonly clusterKey: string;
  /** Gossip addresses of the balancers in the platform's list at the start. */
  readonly seeds: readonly Address[];
  /** Time for which a stopping balancer continues to forward. */
  readonly stopGraceMs: number;
}

/** A balancer process in the simulated world. */
export class SimulatedBalancer extends SimulatedProcess {
  readonly frontAddress: Address;
  readonly backAddress: Address;
  state: BalancerState;
  private readonly peers: SimulatedPeerSockets;
  private link: VirtualLinkEnd | undefined;
  private recordedIndex = 0;
  private isStopping = false;
  private readonly onFrontDatagram: DatagramHandler;
  private readonly onBackDatagram: DatagramHandler;

  constructor(
    simulation: Simulation,
    private readonly options: SimulatedBalancerOptions,
    private readonly directory: BackendDirectory,
  ) {
    super(simulation, 'balancer', options.name, options.host, options.zone);
    this.frontAddress = { host: options.host, port: PORT };
    this.backAddress = { host: options.host, port: PORT + 1 };
    this.peers = new SimulatedPeerSockets(simulation, options.clusterKey, {
      host: options.host,
      isListening: () => this.status !== 'down',
      step: (event) => this.step(event),
    });
    this.state = this.createState();
    this.onFrontDatagram = (datagram, replyTo) =>
      this.step({ type: 'client-datagram', datagram, replyTo });
    this.onBackDatagram = (datagram) => this.step({ type: 'backend-datagram', datagram });
  }

  /** True while the platform lists the balancer: it is not down and not stopping. */
  get isListed(): boolean {
    return this.status !== 'down' && !this.isStopping;
  }

  /** Stops gracefully: refuses new opens, forwards during the grace period, then ends. */
  stop(): void {
    if (this.isStopping) {
      return;
    }
    this.isStopping = true;
    this.step({ type: 'stop' });
    this.schedule(this.options.stopGraceMs, () => this.completeStopWhenIdle());
  }

  protected onStart(): void {
    this.state = this.createState();
    this.recordedIndex = 0;
    this.isStopping = false;
    const { network } = this.simulation;
    network.bind(this.frontAddress, this.onFrontDatagram);
    network.bind(this.backAddress, this.onBackDatagram);
    this.peers.open();
    this.scheduleEvery(TICK_INTERVAL_MS, () => this.step({ type: 'tick' }));
  }

  protected onDown(): void {
    const { network } = this.simulation;
    network.release(this.frontAddress, this.onFrontDatagram);
    network.release(this.backAddress, this.onBackDatagram);
    this.peers.close();
    this.link?.close();
    this.link = undefined;
  }

  private createState(): BalancerState {
    const { name, zone, controlAddresses, clusterKey, seeds } = this.options;
    const incarnation = Math.floor(this.simulation.wallTimeMs / MILLISECONDS_PER_SECOND);
    return createBalancerState({
      ...defaultBalancerOptions,
      balancerId: name,
      zone,
      controlAddresses,
      clusterKey,
      gossip: { ...this.peers.addresses, incarnation, seeds },
    });
  }

  private completeStopWhenIdle(): void {
    if (this.state.pendingOpens.size > 0) {
      this.schedule(STOP_POLL_INTERVAL_MS, () => this.completeStopWhenIdle());
      return;
    }
    this.completeStop(this.state.pendingOpens.size);
  }

  private step(event: BalancerEvent): void {
    this.perform(() => {
      const context = this.simulation.contextFor(this.random);
      const effects = this.simulation.steps.balancer(this.state, event, context);
      this.recordConfig();
      effects.forEach((effect) => this.performEffect(effect));
    });
  }

  private recordConfig(): void {
    const { index } = this.state.position;
    if (index !== this.recordedIndex) {
      this.recordedIndex = index;
      const digest = configDigest(this.state.config);
      this.simulation.record({ type: 'in-force', balancer: this.name, index, digest });
    }
  }

  private performEffect(effect: BalancerEffect): void {
    match(effect)
      .with({ type: 'send' }, ({ via, to, datagram }) => {
        const from = via === 'fabric' ? this.frontAddress : this.backAddress;
        this.simulation.network.send(from, to, datagram);
      })
      .with({ type: 'link-open' }, ({ linkId, address }) => this.openLink(linkId, address))
      .with({ type: 'link-send' }, ({ message }) => this.link?.send(message))
      .with({ type: 'probe' }, (probe) => this.probe(probe))
      .with({ type: 'peer-send' }, ({ linkId, message }) => this.peers.sendOnLink(linkId, message))
      .with({ type: 'gossip-send' }, ({ to, message }) => this.peers.sendGossip(to, message))
      .exhaustive();
  }

  private probe(probe: ProbeEffect): void {
    probeSimulatedBackend(this.simulation, this.directory, this.host, probe, (result) =>
      this.step({ type: 'probe-result', result }),
    );
  }

  private openLink(linkId: number, address: Address): void {
    this.link?.close();
    this.link = undefined;
    const { clock, network, linkListeners } = this.simulation;
    const listener = linkListeners.get(formatAddress(address));
    const onClose = (): void => this.step({ type: 'link-closed', linkId });
    if (listener?.isListening() !== true || network.isCut(this.host, listener.host)) {
      this.schedule(network.delayBetween(this.host, address.host) * 2, onClose);
      return;
    }
    const acceptor = listener.accept();
    const hosts = { near: this.host, far: listener.host };
    const onMessage = (message: unknown): void =>
      this.step({
        type: 'link-message',
        linkId,
        message: message as ControlToBalancerMessage,
      });
    const pair = connectVirtualLink(clock, network, hosts, { onMessage, onClose }, acceptor);
    acceptor.opened(pair.far);
    this.link = pair.near;
    this.step({ type: 'link-opened', linkId });
  }
}
