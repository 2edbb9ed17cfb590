/**
 * @file The daemon of a balancer that forwards by 32-bit tokens: sockets, links and timer around the
 * decisions of `src/ingress`. The packet format comes in as a codec.
 */
import { Packr } from 'msgpackr';
import { formatAddress, type Address } from '../common/address.js';
import { ingressTick, ownReport, takeFeed, takeReport } from '../ingress/feed-step.js';
import { FeedSource } from '../ingress/feed-source.js';
import {
  createIngressState,
  isReady,
  type IngressOptions,
  type IngressState,
} from '../ingress/ingress-state.js';
import {
  decidePacket,
  placeOpen,
  takePlacedElsewhere,
  type DropReason,
  type PacketDecision,
} from '../ingress/packet-step.js';
import type { FlowKey, PacketView } from '../ingress/packet-view.js';
import type { BalancerInfo } from '../group/group-messages.js';
import { parseBalancerMessage, parseFeed, type BalancerMessage } from '../group/message-schemas.js';
import { logDecision } from './decision-log.js';
import { FrameLinks, type FrameLink } from './frame-links.js';
import { bindUdp, type UdpSocket } from './udp-socket.js';

/** Reads and writes packets of one format. */
export interface PacketCodec {
  /** @returns the view of a packet, or undefined where the datagram is none */
  read(datagram: Uint8Array): PacketView | undefined;
  /** @returns the datagram for a back end: what names it, then the packet with its token */
  toBackend(datagram: Uint8Array, instanceBytes: Uint8Array, token: number): Uint8Array;
  /** @returns a reset of the flow that a client's packet belongs to */
  resetFor(packet: PacketView): Uint8Array;
  /** @returns where the client of a packet takes packets */
  clientAddress(packet: PacketView): Address;
}

/** Where a balancer listens and whom it asks. */
export interface IngressDaemonOptions {
  readonly ingress: IngressOptions;
  readonly packetAddress: Address;
  /** UDP, towards other balancers. */
  readonly peerAddress: Address;
  /** Link addresses of control machines. */
  readonly controlSeeds: readonly Address[];
}

const TICK_INTERVAL_MS = 100;
const REPORT_INTERVAL_MS = 250;
const SWEEP_INTERVAL_MS = 1_000;
/** How long other balancers may take to say that they placed an open. */
const ASK_PEERS_MS = 30;
const MAX_HELD = 10_000;
/** A balancer that stops has taken its last packet when none came for so long. */
const QUIET_BEFORE_STOP_MS = 700;
const POLL_STOP_MS = 50;

const packr = new Packr({ useRecords: false });

interface HeldOpen {
  readonly datagram: Uint8Array;
  readonly packet: PacketView;
}

/** A running balancer. */
export class IngressDaemon {
  /** Packets by what became of them. */
  readonly counts = new Map<string, number>();
  private readonly state: IngressState;
  private readonly links = new FrameLinks();
  private readonly source: FeedSource;
  private readonly held = new Map<FlowKey, HeldOpen>();
  private peers: BalancerInfo[] = [];
  private feedLink: FrameLink | undefined;
  private packets: UdpSocket | undefined;
  private peerSocket: UdpSocket | undefined;
  private timer: NodeJS.Timeout | undefined;
  private nextReportAtMs = 0;
  private nextSweepAtMs = 0;
  private lastPacketAtMs = 0;

  private constructor(
    private readonly options: IngressDaemonOptions,
    private readonly codec: PacketCodec,
  ) {
    this.state = createIngressState(options.ingress);
    this.source = new FeedSource(options.controlSeeds, spreadOf(options.ingress.name));
  }

  /** Binds the sockets; rejects where one can't be bound. */
  static async start(options: IngressDaemonOptions, codec: PacketCodec): Promise<IngressDaemon> {
    const daemon = new IngressDaemon(options, codec);
    daemon.peerSocket = await bindUdp(options.peerAddress, (datagram) =>
      daemon.receiveFromPeer(datagram),
    );
    daemon.packets = await bindUdp(options.packetAddress, (datagram) =>
      daemon.receivePacket(datagram),
    );
    daemon.timer = setInterval(() => daemon.tick(), TICK_INTERVAL_MS);
    daemon.tick();
    return daemon;
  }

  /** True where new flows may be sent here. */
  get isReady(): boolean {
    return isReady(this.state);
  }

  /** Takes other control machines to look for. */
  takeSeeds(seeds: readonly Address[]): void {
    this.source.takeSeeds(seeds);
  }

  /**
   * Leaves: not ready from now on, forwards until no packets come any more, then stops.
   * @param withinMs the longest time this may take
   */
  async stop(withinMs: number): Promise<void> {
    this.state.isStopping = true;
    const startedAtMs = performance.now();
    await new Promise<void>((resolve) => {
      const poll = setInterval(() => {
        const nowMs = performance.now();
        const quietSinceMs = Math.max(this.lastPacketAtMs, startedAtMs);
        if (nowMs - quietSinceMs > QUIET_BEFORE_STOP_MS || nowMs - startedAtMs > withinMs) {
          clearInterval(poll);
          resolve();
        }
      }, POLL_STOP_MS);
    });
    clearInterval(this.timer);
    this.links.close();
    await Promise.all([this.packets?.close(), this.peerSocket?.close()]);
  }

  private receivePacket(datagram: Uint8Array): void {
    const packet = this.codec.read(datagram);
    if (packet === undefined) {
      this.count('malformed');
      return;
    }
    const nowMs = performance.now();
    this.lastPacketAtMs = nowMs;
    this.carryOut(decidePacket(this.state, packet, nowMs), datagram, packet);
  }

  private carryOut(decision: PacketDecision, datagram: Uint8Array, packet: PacketView): void {
    switch (decision.type) {
      case 'forward': {
        const { address, instanceBytes, token } = decision.backend;
        this.packets?.send(this.codec.toBackend(datagram, instanceBytes, token), address);
        this.count('forwarded');
        return;
      }
      case 'reset':
        this.packets?.send(this.codec.resetFor(packet), this.codec.clientAddress(packet));
        this.refuse('reset', decision.reason, packet);
        return;
      case 'drop':
        this.refuse('dropped', decision.reason, packet);
        return;
      case 'ask-peers':
        this.askPeers(decision.key, datagram, packet);
        return;
    }
  }

  private refuse(outcome: string, reason: DropReason, packet: PacketView): void {
    this.count(`${outcome}:${reason}`);
    if (packet.isOpen || reason === 'unknown-token') {
      const { sourceHost, sourcePort, token } = packet;
      logDecision('balancer', outcome, { reason, sourceHost, sourcePort, token });
    }
  }

  private askPeers(key: FlowKey, datagram: Uint8Array, packet: PacketView): void {
    if (this.held.has(key) || this.held.size >= MAX_HELD) {
      return;
    }
    this.held.set(key, { datagram: Uint8Array.from(datagram), packet });
    this.sendToPeers({ type: 'find-open', key, replyTo: this.options.peerAddress });
    setTimeout(() => this.placeHeld(key), ASK_PEERS_MS);
  }

  /** No other balancer has placed it. */
  private placeHeld(key: FlowKey): void {
    const held = this.held.get(key);
    if (held !== undefined) {
      this.held.delete(key);
      const decision = placeOpen(this.state, held.packet, performance.now());
      this.carryOut(decision, held.datagram, held.packet);
    }
  }

  private receiveFromPeer(datagram: Uint8Array): void {
    const message = decodePeer(datagram);
    const nowMs = performance.now();
    switch (message?.type) {
      case 'load-report':
        takeReport(this.state, message.name, message.loads, nowMs);
        return;
      case 'find-open': {
        const placed = this.state.opens.recall(message.key, nowMs);
        if (placed !== undefined) {
          const { key } = message;
          this.sendTo(message.replyTo, { type: 'open-found', key, backendId: placed.backendId });
        }
        return;
      }
      case 'open-found': {
        const held = this.held.get(message.key);
        if (held !== undefined) {
          this.held.delete(message.key);
          const decision = takePlacedElsewhere(this.state, message.key, message.backendId, nowMs);
          this.carryOut(decision, held.datagram, held.packet);
        }
        return;
      }
      case undefined:
        this.count('malformed-peer-message');
        return;
    }
  }

  private sendToPeers(message: BalancerMessage): void {
    this.peers.forEach(({ peerAddress }) => this.sendTo(peerAddress, message));
  }

  private sendTo(to: Address, message: BalancerMessage): void {
    this.peerSocket?.send(packr.pack(message), to);
  }

  private tick(): void {
    const nowMs = performance.now();
    this.followFeed(nowMs);
    if (nowMs >= this.nextReportAtMs && this.peers.length > 0) {
      this.nextReportAtMs = nowMs + REPORT_INTERVAL_MS;
      const loads = ownReport(this.state);
      this.sendToPeers({ type: 'load-report', name: this.options.ingress.name, loads });
    }
    if (nowMs >= this.nextSweepAtMs) {
      this.nextSweepAtMs = nowMs + SWEEP_INTERVAL_MS;
      ingressTick(this.state, nowMs);
    }
  }

  private followFeed(nowMs: number): void {
    const action = this.source.act(nowMs);
    if (action.type === 'close') {
      this.feedLink?.close();
    } else if (action.type === 'connect') {
      this.subscribe(action.address);
    }
  }

  private subscribe(to: Address): void {
    const { ingress, peerAddress } = this.options;
    const link = this.links.connect(to, {
      onMessage: (message, from) => this.receiveFeed(message, from),
      onClose: (closed, reason) => {
        if (closed === this.feedLink) {
          this.feedLink = undefined;
          logDecision('balancer', 'feed lost', { control: formatAddress(to), reason });
          this.source.closed(performance.now());
        }
      },
    });
    this.feedLink = link;
    link.send({
      type: 'subscribe',
      balancer: { name: ingress.name, zone: ingress.zone, peerAddress },
      configVersion: this.state.routes.config?.version ?? 0,
    });
  }

  private receiveFeed(value: unknown, from: FrameLink): boolean {
    const message = parseFeed(value);
    if (message === undefined || from !== this.feedLink) {
      return false;
    }
    const nowMs = performance.now();
    const wasReady = this.isReady;
    this.source.heard(message.isCurrent, nowMs);
    if (message.controls !== undefined) {
      this.source.takeControls(message.controls);
    }
    if (message.balancers !== undefined) {
      this.peers = message.balancers.filter(({ name }) => name !== this.options.ingress.name);
    }
    const isNewer = takeFeed(this.state, message, nowMs);
    if (isNewer) {
      logDecision('balancer', 'config in force', { version: message.config?.version });
    }
    if (this.isReady !== wasReady) {
      logDecision('balancer', 'ready', { backends: this.state.backends.size });
    }
    return true;
  }

  private count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}

function decodePeer(datagram: Uint8Array): BalancerMessage | undefined {
  try {
    return parseBalancerMessage(packr.unpack(datagram));
  } catch {
    return undefined;
  }
}

/** Spreads balancers over the control machines by their names. */
function spreadOf(name: string): number {
  let sum = 0;
  for (const letter of name) {
    sum += letter.codePointAt(0) ?? 0;
  }
  return sum;
}
