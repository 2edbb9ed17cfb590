/**
 * @file The balancer daemon: runs the balancer's state machine with its sockets, links, probes and timers.
 */
import { match } from 'ts-pattern';
import type { Address } from '../../shared/common/address.js';
import { loggerFor } from '../../shared/common/logger.js';
import type { BalancerEffect, BalancerEvent } from '../balancer/balancer-events.js';
import { createBalancerState, type BalancerState } from '../balancer/balancer-state.js';
import { balancerStep } from '../balancer/balancer-step.js';
import { takeBackendChanges } from '../balancer/candidates.js';
import { reasonSentence } from '../health/explanation.js';
import type { Settings } from '../settings/settings-schema.js';
import { gossipAddress } from '../gossip/member.js';
import { countTraffic, type TrafficDirection } from '../dissemination/traffic.js';
import { probeBackend } from './health-probe.js';
import { parseFeedMessage } from './link-schemas.js';
import { connectLink, type MessageLink } from './message-link.js';
import { PeerSockets } from './peer-sockets.js';
import { systemContextSource } from '../../shared/daemon/system-context.js';
import { bindUdp, type UdpSocket } from '../../shared/daemon/udp-socket.js';

/** Interval of the tick events of the state machine. */
const TICK_INTERVAL_MS = 20;
const MS_PER_SECOND = 1_000;
/** How often a graceful stop checks for pending opens. */
const STOP_POLL_INTERVAL_MS = 50;

/** A running balancer daemon. */
interface BalancerDaemon {
  readonly frontAddress: Address;
  readonly gossipAddress: Address;
  /** For reading only. */
  readonly state: BalancerState;
  /** Rejects new opens, forwards established flows for the grace period, then closes. */
  stop(graceMs: number): Promise<void>;
}

/**
 * Starts a balancer daemon.
 * @returns the daemon; rejects if an address can't be bound
 */
export async function startBalancerDaemon(settings: Settings): Promise<BalancerDaemon> {
  const { balancer, nodeId, zone, clusterKey } = settings;
  const holder: { runtime?: BalancerRuntime } = {};
  const peers = await PeerSockets.bind(settings, () => holder.runtime);
  const state = createBalancerState({
    ...balancer,
    balancerId: nodeId,
    zone,
    clusterKey,
    gossip: {
      ...peers.addresses,
      incarnation: Math.floor(Date.now() / MS_PER_SECOND),
      seeds: balancer.seeds,
    },
  });
  const runtime = new BalancerRuntime(state, peers);
  holder.runtime = runtime;
  const frontAddress = await runtime.bindSockets(balancer.frontAddress, balancer.backAddress);
  const logger = loggerFor('balancer');
  logger.info(`Balancer ${nodeId} is listening on UDP port ${frontAddress.port}.`);
  return {
    frontAddress,
    gossipAddress: gossipAddress(peers.addresses),
    state,
    stop: async (graceMs) => {
      runtime.step({ type: 'stop' });
      logger.info(`Balancer ${nodeId} is stopping and rejects new flows.`);
      await waitForPendingOpens(state, graceMs);
      await runtime.close();
      logger.info(`Balancer ${nodeId} has stopped.`);
    },
  };
}

/** Feeds socket, link and timer events to the state machine and performs the effects that it returns. */
class BalancerRuntime {
  private readonly contextSource = systemContextSource();
  private readonly healthLogger = loggerFor('health');
  private fabricSocket: UdpSocket | undefined;
  private backendSocket: UdpSocket | undefined;
  private link: MessageLink | undefined;
  private timer: NodeJS.Timeout | undefined;
  private closed = false;

  constructor(
    private readonly state: BalancerState,
    private readonly peers: PeerSockets,
  ) {}

  /** Runs one step and performs its effects. */
  step(event: BalancerEvent): void {
    for (const effect of balancerStep(this.state, event, this.contextSource.now())) {
      this.perform(effect);
    }
    if (this.state.backendChanges.length > 0) {
      this.logBackendChanges();
    }
  }

  countTraffic(direction: TrafficDirection, kind: string, bytes: number): void {
    countTraffic(this.state.traffic, direction, kind, bytes);
  }

  async bindSockets(frontAddress: Address, backAddress: Address): Promise<Address> {
    this.fabricSocket = await bindUdp(frontAddress, (datagram, replyTo) =>
      this.step({ type: 'client-datagram', datagram, replyTo }),
    );
    this.backendSocket = await bindUdp(backAddress, (datagram) =>
      this.step({ type: 'backend-datagram', datagram }),
    );
    this.timer = setInterval(() => this.step({ type: 'tick' }), TICK_INTERVAL_MS);
    this.step({ type: 'tick' });
    return this.fabricSocket.address;
  }

  async close(): Promise<void> {
    this.closed = true;
    clearInterval(this.timer);
    this.link?.close();
    await Promise.all([
      this.fabricSocket?.close(),
      this.backendSocket?.close(),
      this.peers.close(),
    ]);
  }

  private logBackendChanges(): void {
    for (const { backendId, to, reason } of takeBackendChanges(this.state)) {
      this.healthLogger.info(`Back end ${backendId}. ${reasonSentence(to, reason)}`);
    }
  }

  private perform(effect: BalancerEffect): void {
    // Occurs for every packet, so it is handled before the slower pattern match.
    if (effect.type === 'send') {
      const socket = effect.via === 'fabric' ? this.fabricSocket : this.backendSocket;
      socket?.send(effect.datagram, effect.to);
      return;
    }
    match(effect)
      .with({ type: 'link-open' }, ({ linkId, address }) => this.openLink(linkId, address))
      .with({ type: 'link-send' }, ({ message }) => this.link?.send(message))
      .with({ type: 'peer-send' }, ({ linkId, message }) => this.peers.sendTo(linkId, message))
      .with({ type: 'gossip-send' }, ({ to, message }) => this.peers.sendGossip(to, message))
      .with({ type: 'probe' }, (probe) => {
        void probeBackend(probe).then((result) => this.step({ type: 'probe-result', result }));
      })
      .exhaustive();
  }

  private openLink(linkId: number, address: Address): void {
    this.link?.close();
    this.link = connectLink(address, {
      onMessage: (value) => {
        const message = parseFeedMessage(value);
        if (message !== undefined) {
          this.step({ type: 'link-message', linkId, message });
        }
        return message !== undefined;
      },
      onClose: () => {
        if (!this.closed) {
          this.step({ type: 'link-closed', linkId });
        }
      },
      onTraffic: (direction, kind, bytes) => this.countTraffic(direction, kind, bytes),
    });
    this.step({ type: 'link-opened', linkId });
  }
}

/** Waits until the grace period is over and, unless it is 0, no open is pending. */
async function waitForPendingOpens(state: BalancerState, graceMs: number): Promise<void> {
  const deadlineMs = performance.now() + graceMs;
  while (performance.now() < deadlineMs || (graceMs > 0 && state.pendingOpens.size > 0)) {
    await new Promise((resolve) => setTimeout(resolve, STOP_POLL_INTERVAL_MS));
  }
}
