/**
 * @file A balancer without sockets: connects the packet handler, feed follower, zone gossip, paced sender and log of
 * one balancer, which share one `IngressState`. The environment is real in the daemon and virtual in the simulator; a
 * codec defines the packet format.
 */
import type { Address } from '../../shared/common/address.js';
import type { BalancerMessage } from '../group/message-schemas.js';
import {
  createIngressState,
  isReady,
  type IngressOptions,
  type IngressState,
} from '../ingress/ingress-state.js';
import type { PacketCodec } from '../ingress/packet-codec.js';
import { sweepIngress } from '../ingress/sweep.js';
import type { DecisionFields } from './decision-log.js';
import { countEvent, type EventCounts } from './event-counts.js';
import { createFeedFollower, type ControlLink, type ControlLinkHandlers } from './feed-follower.js';
import { createIngressLog, type IngressLog } from './ingress-log.js';
import { createPacedSender, type PacedSender } from './paced-sender.js';
import { createPacketHandler, type PacketHandler } from './packet-handler.js';
import type { RequestLog } from './request-log.js';
import { createPeerFeeds, type PeerFeeds } from './peer-feed/peer-feeds.js';
import type { PeerLink, PeerLinkHandlers } from '../ingress/peer-feed/peer-feed-messages.js';
import { createZoneGossip, type ZoneGossip } from './zone-gossip.js';

/** Clock, network and log of a balancer. */
export interface IngressEnvironment {
  nowMs(): number;
  sendPacket(datagram: Uint8Array, to: Address): void;
  /** @returns the size of the message in bytes */
  sendToBalancer(to: Address, message: BalancerMessage): number;
  connectControl(to: Address, handlers: ControlLinkHandlers): ControlLink;
  /** Connects to the address of another balancer, over TCP. */
  connectBalancer(to: Address, handlers: PeerLinkHandlers): PeerLink;
  after(delayMs: number, run: () => void): void;
  /** Logs a decision that changed the state of this balancer. */
  logDecision(name: string, fields: DecisionFields): void;
  /** Rate-limited log of decisions on packets. */
  readonly packetLog: RequestLog;
}

/** Options of a balancer process. */
export interface IngressProcessOptions {
  readonly ingress: IngressOptions;
  /** Address of this balancer for other balancers: UDP, and TCP where peer feeds are on. */
  readonly peerAddress: Address;
  /** Link addresses of control machines. */
  readonly controlSeeds: readonly Address[];
  /** Rate of the machine's network link in bytes per millisecond; undefined disables pacing. */
  readonly linkBytesPerMs: number | undefined;
}

/** A balancer without sockets. */
export interface IngressProcess {
  /** Exposed for metrics, tests and the checks of the simulator. */
  readonly state: IngressState;
  /** Number of packets by outcome. */
  readonly counts: EventCounts;
  /** Exposed for metrics. */
  readonly sender: PacedSender;
  /** Feeds from and to other balancers, whose links the environment accepts; undefined where they are off. */
  readonly peerFeeds: PeerFeeds | undefined;
  /** True while this balancer accepts new flows. */
  readonly isReady: boolean;
  /** Arrival time of the last packet of a client, in milliseconds. */
  readonly lastPacketAtMs: number;
  /** Handles a datagram of a client. */
  handlePacket(datagram: Uint8Array): void;
  /** Handles a message of another balancer. */
  handleBalancerMessage(message: BalancerMessage): void;
  /** Replaces the seeds. */
  updateSeeds(seeds: readonly Address[]): void;
  /** Reports not ready from now on; packets are still forwarded. */
  beginStop(): void;
  /** Runs periodic work; called about every 100 ms. */
  tick(): void;
}

/** Interval at which the liveness of back ends is checked and old state is removed. */
const SWEEP_INTERVAL_MS = 1_000;

/** @returns a balancer without configuration; not ready until its feed has arrived */
export function createIngressProcess(
  options: IngressProcessOptions,
  codec: PacketCodec,
  environment: IngressEnvironment,
): IngressProcess {
  const { peerAddress } = options;
  const { packetLog } = environment;
  const nowMs = () => environment.nowMs();
  const after = (delayMs: number, run: () => void) => environment.after(delayMs, run);
  const counts: EventCounts = new Map();
  const state = createIngressState(options.ingress, () => sender.queuedBytes === 0);
  const logDecision = (name: string, fields: DecisionFields) =>
    environment.logDecision(name, fields);
  const log = createIngressLog({ state, nowMs, logDecision, packetLog });
  const sender = createSender(options.linkBytesPerMs, environment, counts, log);
  const sendToBalancer = (to: Address, message: BalancerMessage) =>
    sender.charge(environment.sendToBalancer(to, message));
  const feed = createFeedFollower({
    state,
    peerAddress,
    controlSeeds: options.controlSeeds,
    nowMs,
    after,
    connectControl: (to, handlers) => environment.connectControl(to, handlers),
    charge: (bytes) => sender.charge(bytes),
    logDecision,
    packetLog,
    onApplied: (message) => {
      peerFeeds?.relay(message);
      packets.releaseEarlyPackets();
    },
  });
  const peerFeeds = createPeerFeeds({ ...options, state, environment, sender, feed });
  const zones = createZoneGossip({ state, replyTo: peerAddress, nowMs, sendToBalancer });
  const packets = createPacketHandler({
    state,
    codec,
    sender,
    counts,
    log,
    peerAddress,
    nowMs,
    after,
    sendToBalancer,
    logDecision,
  });
  let nextSweepAtMs = 0;

  return {
    state,
    counts,
    sender,
    peerFeeds,
    get isReady() {
      return isReady(state);
    },
    get lastPacketAtMs() {
      return packets.lastPacketAtMs;
    },
    handlePacket: (datagram) => packets.handlePacket(datagram),
    handleBalancerMessage: (message) => handleBalancerMessage(message, zones, packets),
    updateSeeds: (seeds) => feed.updateSeeds(seeds),
    beginStop: () => state.beginStop(),
    tick,
  };

  function tick(): void {
    const tickAtMs = nowMs();
    state.stallDetector.recordActivity(tickAtMs);
    feed.tick(tickAtMs);
    packets.expireEarlyPackets(tickAtMs);
    peerFeeds?.tick(tickAtMs);
    zones.tick(tickAtMs);
    log.changedZones(tickAtMs);
    log.ejections();
    if (tickAtMs >= nextSweepAtMs) {
      nextSweepAtMs = tickAtMs + SWEEP_INTERVAL_MS;
      sweepIngress(state, tickAtMs).forEach((change) => log.changedLiveness(change, tickAtMs));
    }
    packetLog.flush();
  }
}

/** Creates the sender; its drops are counted and logged like other dropped packets. */
function createSender(
  rateBytesPerMs: number | undefined,
  environment: IngressEnvironment,
  counts: EventCounts,
  log: IngressLog,
): PacedSender {
  return createPacedSender({
    rateBytesPerMs,
    nowMs: () => environment.nowMs(),
    after: (delayMs, run) => environment.after(delayMs, run),
    send: (datagram, to) => environment.sendPacket(datagram, to),
    onDropped: (reason, { flow }) => {
      countEvent(counts, `dropped:${reason}`);
      log.notSent(reason, flow);
    },
  });
}

function handleBalancerMessage(
  message: BalancerMessage,
  zones: ZoneGossip,
  packets: PacketHandler,
): void {
  switch (message.type) {
    case 'find-zones':
      zones.handleQuery(message.replyTo);
      return;
    case 'zones-known':
      zones.applyUpdates(message.zones);
      return;
    default:
      packets.handleOpenMessage(message);
  }
}
