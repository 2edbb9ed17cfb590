/**
 * @file A balancer without its sockets: wires the parts of one balancer together. Its surroundings are real in the
 * daemon and virtual in the simulator, and the packet format comes in as a codec.
 *
 * | part | does | rules |
 * | --- | --- | --- |
 * | `packet-handler.ts` | packets of clients, opens that are held | `ingress/packet-step.ts` |
 * | `feed-follower.ts` | the feed of a control machine | `decisions/feed-source.ts`, `ingress/feed-step.ts` |
 * | `zone-gossip.ts` | orders for zones while cut off from control | |
 * | `paced-sender.ts` | packets that wait for the link | `egress/packet-scheduler.ts` |
 * | `ingress-log.ts` | log lines | |
 *
 * All parts share one `IngressState`; each writes only what its rules write.
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
import { ingressSweep } from '../ingress/sweep.js';
import type { DecisionFields } from './decision-log.js';
import { countEvent, type EventCounts } from './event-counts.js';
import { createFeedFollower, type ControlLink, type ControlLinkHandlers } from './feed-follower.js';
import { createIngressLog, type IngressLog } from './ingress-log.js';
import { createPacedSender, type PacedSender } from './paced-sender.js';
import { createPacketHandler, type PacketHandler } from './packet-handler.js';
import type { RequestLog } from './request-log.js';
import { createZoneGossip, type ZoneGossip } from './zone-gossip.js';

/** What a balancer needs of the world. */
export interface IngressSurroundings {
  nowMs(): number;
  sendPacket(datagram: Uint8Array, to: Address): void;
  /** @returns the size of the message in bytes */
  sendToBalancer(to: Address, message: BalancerMessage): number;
  connectControl(to: Address, handlers: ControlLinkHandlers): ControlLink;
  after(delayMs: number, run: () => void): void;
  /** Writes the line of a decision that changed what this balancer believes. */
  logDecision(name: string, fields: DecisionFields): void;
  /** Writes the lines of decisions on packets. */
  readonly packetLog: RequestLog;
}

/** Who a balancer is, and whom it asks. */
export interface IngressProcessOptions {
  readonly ingress: IngressOptions;
  /** UDP, towards other balancers. */
  readonly peerAddress: Address;
  /** Link addresses of control machines. */
  readonly controlSeeds: readonly Address[];
  /** What the machine's own link carries, in bytes a millisecond; undefined where it is not known. */
  readonly linkBytesPerMs: number | undefined;
}

/** A balancer. */
export interface IngressProcess {
  /** Read by metrics, tests and the simulator's checks. */
  readonly state: IngressState;
  /** Packets by what became of them. */
  readonly counts: EventCounts;
  /** Sends all packets; read by metrics. */
  readonly sender: PacedSender;
  /** True where new flows may be sent here. */
  readonly isReady: boolean;
  /** When the last packet of a client came, in milliseconds. */
  readonly lastPacketAtMs: number;
  /** Handles a datagram of a client. */
  handlePacket(datagram: Uint8Array): void;
  /** Handles a message of another balancer. */
  handleBalancerMessage(message: BalancerMessage): void;
  /** Replaces the control machines that are looked for first. */
  updateSeeds(seeds: readonly Address[]): void;
  /** Not ready from now on; packets are forwarded as before. */
  leave(): void;
  /** Does what is due; called every 100 ms or so. */
  tick(): void;
}

/** Liveness and memories of back ends are looked through so often. */
const SWEEP_INTERVAL_MS = 1_000;

/** @returns a balancer that knows nothing and is not ready */
export function createIngressProcess(
  options: IngressProcessOptions,
  codec: PacketCodec,
  surroundings: IngressSurroundings,
): IngressProcess {
  const { peerAddress } = options;
  const { packetLog } = surroundings;
  const nowMs = () => surroundings.nowMs();
  const after = (delayMs: number, run: () => void) => surroundings.after(delayMs, run);
  const counts: EventCounts = new Map();
  const state = createIngressState(options.ingress, () => sender.queuedBytes === 0);
  const log = createIngressLog({
    state,
    nowMs,
    logDecision: (name, fields) => surroundings.logDecision(name, fields),
    packetLog,
  });
  const sender = createSender(options.linkBytesPerMs, surroundings, counts, log);
  const sendToBalancer = (to: Address, message: BalancerMessage) =>
    sender.charge(surroundings.sendToBalancer(to, message));
  const feed = createFeedFollower({
    state,
    peerAddress,
    controlSeeds: options.controlSeeds,
    nowMs,
    after,
    connectControl: (to, handlers) => surroundings.connectControl(to, handlers),
    charge: (bytes) => sender.charge(bytes),
    logDecision: (name, fields) => surroundings.logDecision(name, fields),
    packetLog,
  });
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
  });
  let nextSweepAtMs = 0;

  return {
    state,
    counts,
    sender,
    get isReady() {
      return isReady(state);
    },
    get lastPacketAtMs() {
      return packets.lastPacketAtMs;
    },
    handlePacket: (datagram) => packets.handlePacket(datagram),
    handleBalancerMessage: (message) => handleBalancerMessage(message, zones, packets),
    updateSeeds: (seeds) => feed.updateSeeds(seeds),
    leave: () => state.beginStop(),
    tick,
  };

  function tick(): void {
    const tickAtMs = nowMs();
    state.stallGuard.recordActivity(tickAtMs);
    feed.tick(tickAtMs);
    zones.tick(tickAtMs);
    log.changedZones(tickAtMs);
    log.ejections();
    if (tickAtMs >= nextSweepAtMs) {
      nextSweepAtMs = tickAtMs + SWEEP_INTERVAL_MS;
      ingressSweep(state, tickAtMs).forEach((change) => log.changedLiveness(change, tickAtMs));
    }
    packetLog.flush();
  }
}

/** Packets that the sender drops are counted and logged like those that a rule drops. */
function createSender(
  rateBytesPerMs: number | undefined,
  surroundings: IngressSurroundings,
  counts: EventCounts,
  log: IngressLog,
): PacedSender {
  return createPacedSender({
    rateBytesPerMs,
    nowMs: () => surroundings.nowMs(),
    after: (delayMs, run) => surroundings.after(delayMs, run),
    send: (datagram, to) => surroundings.sendPacket(datagram, to),
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
