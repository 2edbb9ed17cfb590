/**
 * @file The balancer daemon: sockets, links, probes and timers around the balancer's decision step.
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

/** Time between two ticks of the decision step, in milliseconds. */
const TICK_INTERVAL_MS = 20;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time between two looks at whether opens are still pending at a planned stop, in milliseconds. */
const STOP_POLL_INTERVAL_MS = 50;

/** A running balancer daemon. */
interface BalancerDaemon {
  readonly frontAddress: Address;
  readonly gossipAddress: Address;
  /** The state; to be read only. */
  readonly state: BalancerState;
  /** Stops: no new opens, then forwards on for the grace time, then ends. */
  stop(graceMs: number): Promise<void>;
}

/**
 * Starts a balancer daemon.
 * @returns the daemon; rejects where an address can't be bound
 */
export async function startBalancerDaemon(settings: Settings): Promise<BalancerDaemon> {
  const { balancer, nodeId, zone, clusterKey } = settings;
  const holder: { edge?: BalancerEdge } = {};
  const peers = await PeerSockets.bind(settings, () => holder.edge);
  const state = createBalancerState({
    ...balancer,
    balancerId: nodeId,
    zone,
    clusterKey,
    gossip: {
      ...peers.addresses,
      incarnation: Math.floor(Date.now() / MILLISECONDS_PER_SECOND),
      seeds: balancer.seeds,
    },
  });
  const edge = new BalancerEdge(state, peers);
  holder.edge = edge;
  const frontAddress = await edge.bind(balancer.frontAddress, balancer.backAddress);
  const logger = loggerFor('balancer');
  logger.info(`Balancer ${nodeId} is ready on port ${frontAddress.port}.`);
  return {
    frontAddress,
    gossipAddress: gossipAddress(peers.addresses),
    state,
    stop: async (graceMs) => {
      edge.step({ type: 'stop' });
      logger.info(`Balancer ${nodeId} takes no new flows.`);
      await finishPendingOpens(state, graceMs);
      await edge.close();
      logger.info(`Balancer ${nodeId} has stopped.`);
    },
  };
}

/** Input and output of a balancer. */
class BalancerEdge {
  private readonly contexts = systemContextSource();
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
    for (const effect of balancerStep(this.state, event, this.contexts.now())) {
      this.perform(effect);
    }
    if (this.state.backendChanges.length > 0) {
      this.logBackendChanges();
    }
  }

  countTraffic(direction: TrafficDirection, kind: string, bytes: number): void {
    countTraffic(this.state.traffic, direction, kind, bytes);
  }

  async bind(front: Address, back: Address): Promise<Address> {
    this.fabricSocket = await bindUdp(front, (datagram, replyTo) =>
      this.step({ type: 'client-datagram', datagram, replyTo }),
    );
    this.backendSocket = await bindUdp(back, (datagram) =>
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
    // Comes for every packet, so it is checked before the pattern match, which costs more.
    if (effect.type === 'send') {
      const socket = effect.via === 'fabric' ? this.fabricSocket : this.backendSocket;
      socket?.send(effect.datagram, effect.to);
      return;
    }
    match(effect)
      .with({ type: 'link-open' }, ({ linkId, address }) => this.openLink(linkId, address))
      .with({ type: 'link-send' }, ({ message }) => this.link?.send(message))
      .with({ type: 'peer-send' }, ({ linkId, message }) => this.peers.sendTo(linkId, message))
      .with({ type: 'gossip-send' }, ({ to, message }) => this.peers.gossip(to, message))
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

/** Waits for the grace time, in which established flows are forwarded on. */
async function finishPendingOpens(state: BalancerState, graceMs: number): Promise<void> {
  const endsAt = performance.now() + graceMs;
  while (performance.now() < endsAt || (graceMs > 0 && state.pendingOpens.size > 0)) {
    await new Promise((resolve) => setTimeout(resolve, STOP_POLL_INTERVAL_MS));
  }
}
