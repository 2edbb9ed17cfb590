/**
 * @file A balancer without its sockets: it carries out the decisions of `src/registered/ingress` through its
 * surroundings, which are real in the daemon and virtual in the simulator. The packet format comes in as
 * a codec.
 */
import { unpackHost, type Address } from '../../shared/common/address.js';
import type { BalancerMessage } from '../group/message-schemas.js';
import {
  createIngressState,
  isReady,
  type IngressOptions,
  type IngressState,
} from '../ingress/ingress-state.js';
import { followPeer, placeOpen } from '../ingress/open-step.js';
import type { DropReason, FoundBy, PacketDecision } from '../ingress/packet-decision.js';
import { decidePacket } from '../ingress/packet-step.js';
import type { PacketCodec } from '../ingress/packet-codec.js';
import { flowKeyOf, type PacketView } from '../ingress/packet-view.js';
import { ingressSweep } from '../ingress/sweep.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import { LIVENESS_LABELS } from '../registry/backend-liveness.js';
import type { PacketLabel } from '../egress/packet-scheduler.js';
import type { DecisionFields } from './decision-log.js';
import {
  createFeedFollower,
  type ControlLink,
  type ControlLinkHandlers,
  type FeedFollower,
} from './feed-follower.js';
import { createZoneGossip, type ZoneGossip } from './zone-gossip.js';
import { createOpenSharing, type OpenSharing } from './open-sharing.js';
import { createPacedSender, type PacedSender } from './paced-sender.js';
import type { RequestLog } from './request-log.js';

/** What a balancer needs of the world. */
export interface IngressSurroundings {
  nowMs(): number;
  sendPacket(datagram: Uint8Array, to: Address): void;
  /** @returns how many bytes the message takes */
  sendToBalancer(to: Address, message: BalancerMessage): number;
  connectControl(to: Address, handlers: ControlLinkHandlers): ControlLink;
  after(delayMs: number, run: () => void): void;
  /** Takes the line of a decision that changed what this balancer believes. */
  logDecision(name: string, fields: DecisionFields): void;
  /** Takes the lines of decisions on packets. */
  readonly packetLog: RequestLog;
}

/** Who a balancer is and whom it asks. */
export interface IngressProcessOptions {
  readonly ingress: IngressOptions;
  /** UDP, towards other balancers. */
  readonly peerAddress: Address;
  /** Link addresses of control machines. */
  readonly controlSeeds: readonly Address[];
  /** What the machine's own link carries, in bytes a millisecond; undefined where it is not known. */
  readonly linkBytesPerMs: number | undefined;
}

const SWEEP_INTERVAL_MS = 1_000;
/** Loads are logged with two digits behind the point. */
const LOAD_DIGITS = 100;

type ForwardDecision = Extract<PacketDecision, { readonly type: 'forward' }>;

/** A balancer. */
export class IngressProcess {
  /** Packets by what became of them. */
  readonly counts = new Map<string, number>();
  /** Read by tests and the simulator's checks. */
  readonly state: IngressState;
  /** When the last packet of a client came, in milliseconds. */
  lastPacketAtMs = 0;
  private readonly feed: FeedFollower;
  private readonly opens: OpenSharing;
  private readonly zones: ZoneGossip;
  /** Sends all packets; read by metrics. */
  readonly sender: PacedSender;
  private nextSweepAtMs = 0;
  private loggedZonesVersion = 0;

  constructor(
    private readonly options: IngressProcessOptions,
    private readonly codec: PacketCodec,
    private readonly surroundings: IngressSurroundings,
  ) {
    const isLinkFree = () => this.sender.queuedBytes === 0;
    this.state = createIngressState(options.ingress, isLinkFree);
    this.sender = createPacedSender({
      rateBytesPerMs: options.linkBytesPerMs,
      nowMs: () => surroundings.nowMs(),
      after: (delayMs, run) => surroundings.after(delayMs, run),
      send: (datagram, to) => surroundings.sendPacket(datagram, to),
      onDropped: (reason, { flow }) => {
        this.count(`dropped:${reason}`);
        surroundings.packetLog.log('dropped', { reason, flow });
      },
    });
    this.feed = createFeedFollower({
      state: this.state,
      peerAddress: options.peerAddress,
      controlSeeds: options.controlSeeds,
      nowMs: () => surroundings.nowMs(),
      after: (delayMs, run) => surroundings.after(delayMs, run),
      connectControl: (to, handlers) => surroundings.connectControl(to, handlers),
      charge: (bytes) => this.sender.charge(bytes),
      logDecision: (name, fields) => surroundings.logDecision(name, fields),
      packetLog: surroundings.packetLog,
    });
    this.zones = createZoneGossip({
      state: this.state,
      replyTo: options.peerAddress,
      nowMs: () => surroundings.nowMs(),
      sendToBalancer: (to, message) => this.sender.charge(surroundings.sendToBalancer(to, message)),
    });
    this.opens = createOpenSharing({
      state: this.state,
      replyTo: options.peerAddress,
      nowMs: () => surroundings.nowMs(),
      after: (delayMs, run) => surroundings.after(delayMs, run),
      sendToBalancer: (to, message) => this.sender.charge(surroundings.sendToBalancer(to, message)),
      onUnknown: ({ datagram, packet }) => {
        this.carryOut(placeOpen(this.state, packet, surroundings.nowMs()), datagram, packet);
      },
      onClaimed: ({ packet }) => this.refuse('dropped', 'claimed-elsewhere', packet),
      onFound: ({ datagram, packet }, key, token) => {
        const decision = followPeer(this.state, key, token, surroundings.nowMs());
        this.carryOut(decision, datagram, packet);
      },
    });
  }

  /** True where new flows may be sent here. */
  get isReady(): boolean {
    return isReady(this.state);
  }

  /** Takes other control machines to look for. */
  updateSeeds(seeds: readonly Address[]): void {
    this.feed.updateSeeds(seeds);
  }

  /** Not ready from now on; packets are forwarded as before. */
  leave(): void {
    this.state.beginStop();
  }

  /** Takes a datagram of a client. */
  handlePacket(datagram: Uint8Array): void {
    const packet = this.codec.read(datagram);
    if (packet === undefined) {
      this.count('malformed');
      return;
    }
    const nowMs = this.surroundings.nowMs();
    this.lastPacketAtMs = nowMs;
    this.state.stallGuard.recordTurn(nowMs);
    this.carryOut(decidePacket(this.state, packet, nowMs), datagram, packet);
  }

  /** Takes a message of another balancer. */
  handleBalancerMessage(message: BalancerMessage): void {
    switch (message.type) {
      case 'find-zones':
        this.zones.handleQuery(message.replyTo);
        return;
      case 'zones-known':
        this.zones.applyUpdates(message.zones);
        return;
      default:
        this.opens.handleMessage(message);
    }
  }

  private carryOut(decision: PacketDecision, datagram: Uint8Array, packet: PacketView): void {
    switch (decision.type) {
      case 'forward':
        this.forward(decision, datagram, packet);
        return;
      case 'reset':
        this.send(this.codec.resetFor(packet), this.codec.clientAddress(packet), packet);
        this.refuse('reset', decision.reason, packet);
        return;
      case 'drop':
        this.refuse('dropped', decision.reason, packet);
        return;
      case 'ask-peers':
        this.opens.askHolders(decision.key, { datagram: Uint8Array.from(datagram), packet });
        return;
    }
  }

  private forward(decision: ForwardDecision, datagram: Uint8Array, packet: PacketView): void {
    const { backend, foundBy } = decision;
    const { address, instanceBytes, token } = backend;
    this.send(this.codec.toBackend(datagram, instanceBytes, token), address, packet);
    this.count('forwarded');
    if (foundBy !== undefined) {
      this.count(`opened:${foundBy.type}`);
      this.publishPlacement(foundBy, token);
      this.surroundings.packetLog.log('placed', this.placementFields(packet, backend, foundBy));
      return;
    }
    if (packet.dataLength > 0) {
      this.logRequest(datagram, packet, backend);
    }
  }

  private send(datagram: Uint8Array, to: Address, packet: PacketView): void {
    this.sender.send(datagram, to, () => labelOf(packet));
  }

  private publishPlacement(foundBy: FoundBy, token: number): void {
    if (foundBy.type === 'chosen' && this.options.ingress.switches.opens === 'shared') {
      this.opens.publishPlacement(foundBy.key, token);
    }
  }

  private placementFields(
    packet: PacketView,
    backend: KnownBackend,
    foundBy: FoundBy,
  ): DecisionFields {
    const { routes, zones } = this.state;
    return {
      flow: describeFlow(packet),
      seq: packet.sequence,
      copy: packet.copyNumber,
      how: foundBy.type,
      ...(foundBy.type === 'chosen' && {
        service: foundBy.service,
        load: Math.round(foundBy.load * LOAD_DIGITS) / LOAD_DIGITS,
      }),
      backend: backend.id,
      liveness: LIVENESS_LABELS[backend.registration.liveness],
      config: routes.config?.version,
      evacuated: zones.describeEvacuated(this.surroundings.nowMs()),
      feedAgeMs: this.feed.feedAgeMs(),
    };
  }

  /** Ties the ID of a request to its flow. */
  private logRequest(datagram: Uint8Array, packet: PacketView, backend: KnownBackend): void {
    const request = this.codec.requestIdOf(datagram);
    if (request !== undefined) {
      this.surroundings.packetLog.log('request', {
        request,
        flow: describeFlow(packet),
        seq: packet.sequence,
        backend: backend.id,
        departure: backend.registration.departure,
      });
    }
  }

  private refuse(outcome: string, reason: DropReason, packet: PacketView): void {
    this.count(`${outcome}:${reason}`);
    if (packet.isOpen || reason === 'unknown-token' || reason === 'backend-dead') {
      this.surroundings.packetLog.log(outcome, {
        reason,
        flow: describeFlow(packet),
        seq: packet.sequence,
        copy: packet.isOpen ? packet.copyNumber : undefined,
        token: packet.token,
        config: this.state.routes.config?.version,
        evacuated: this.state.zones.describeEvacuated(this.surroundings.nowMs()),
        feedAgeMs: this.feed.feedAgeMs(),
      });
    }
  }

  /** Does what is due. */
  tick(): void {
    const nowMs = this.surroundings.nowMs();
    this.state.stallGuard.recordTurn(nowMs);
    this.feed.tick(nowMs);
    this.zones.tick(nowMs);
    this.logZones(nowMs);
    this.logEjections();
    if (nowMs >= this.nextSweepAtMs) {
      this.nextSweepAtMs = nowMs + SWEEP_INTERVAL_MS;
      ingressSweep(this.state, nowMs).forEach(({ backend, from, to }) => {
        const silentMs = Math.round(nowMs - backend.registration.lastHeartbeatAtMs);
        this.surroundings.logDecision('backend judged', {
          backend: backend.id,
          from: LIVENESS_LABELS[from],
          to: LIVENESS_LABELS[to],
          silentMs,
        });
      });
    }
    this.surroundings.packetLog.flush();
  }

  /** Whoever told of them. */
  private logZones(nowMs: number): void {
    const { zones } = this.state;
    if (zones.version !== this.loggedZonesVersion) {
      this.loggedZonesVersion = zones.version;
      const evacuated = zones.describeEvacuated(nowMs) ?? 'none';
      this.surroundings.logDecision('zones', { evacuated, feedAgeMs: this.feed.feedAgeMs() });
    }
  }

  private logEjections(): void {
    for (const {
      backendId,
      failure,
      holdMs,
      evidence,
    } of this.state.placement.ejections.takeEjections()) {
      const { stalled, busy } = evidence;
      const answered = Math.round(evidence.answered);
      const short = Math.round(evidence.short);
      const fields = { backend: backendId, failure, holdMs, stalled, busy, answered, short };
      this.surroundings.logDecision('backend passed over', fields);
    }
  }

  private count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}

/** Names a packet that has to wait; a retransmission carries the same bytes of its stream again. */
function labelOf(packet: PacketView): PacketLabel {
  const { sequence, dataLength } = packet;
  const content = dataLength > 0 ? `${sequence}+${dataLength}` : undefined;
  const position = dataLength > 0 ? sequence : undefined;
  return { flow: flowKeyOf(packet), content, position };
}

/** @returns the two ends of a flow, as logs name it */
function describeFlow(packet: PacketView): string {
  const source = `${unpackHost(packet.sourceHost)}:${packet.sourcePort}`;
  return `${source}>${unpackHost(packet.destinationHost)}:${packet.destinationPort}`;
}
