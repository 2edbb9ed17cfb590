/**
 * @file Daemon of a balancer: owns the UDP sockets (packets of clients, messages of other balancers), the links to
 * control machines and other balancers, and the timer around `ingress-process.ts`.
 */
import { Packr } from 'msgpackr';
import { formatAddress, type Address } from '../../shared/common/address.js';
import { parseBalancerMessage, type BalancerMessage } from '../group/message-schemas.js';
import type { Timing } from '../group/timing.js';
import { logDecision, logLine } from './decision-log.js';
import { frameLinkOptions, FrameLinks } from './frame-links.js';
import type { PacketCodec } from '../ingress/packet-codec.js';
import {
  createIngressProcess,
  type IngressProcess,
  type IngressProcessOptions,
} from './ingress-process.js';
import { createRequestLog, defaultLineBudget } from './request-log.js';
import { bindUdp, type UdpSocket } from '../../shared/daemon/udp-socket.js';

/** Options of a balancer process, with the packet address to bind and the timing of links. */
export interface IngressDaemonOptions extends IngressProcessOptions {
  /** UDP address for packets of clients. */
  readonly packetAddress: Address;
  readonly timing: Timing;
}

/** Well below the shortest timeout that is checked on ticks (`group/timing.ts`). */
const TICK_INTERVAL_MS = 100;
/** Longer than the retransmission timeouts of an open at clients (200 and 400 ms), so that no open is lost. */
const MIN_QUIET_BEFORE_STOP_MS = 700;
const STOP_POLL_INTERVAL_MS = 50;

/** Above the number of peers that are fed, so that others get a refusal. */
const MAX_PEER_CONNECTIONS = 64;
/** Far above the only message that other balancers send here, a subscription. */
const MAX_PEER_FRAME_BYTES = 4_096;

const packr = new Packr({ useRecords: false });

/** A running balancer. */
export class IngressDaemon {
  private readonly links: FrameLinks;
  /** Exposed for metrics. */
  readonly process: IngressProcess;
  private packetSocket: UdpSocket | undefined;
  private peerSocket: UdpSocket | undefined;
  private timer: NodeJS.Timeout | undefined;

  private constructor(options: IngressDaemonOptions, codec: PacketCodec) {
    this.links = new FrameLinks(frameLinkOptions(options.timing));
    this.process = createIngressProcess(options, codec, {
      nowMs: () => performance.now(),
      sendPacket: (datagram, to) => this.packetSocket?.send(datagram, to),
      sendToBalancer: (to, message) => this.sendToBalancer(to, message),
      connectControl: (to, handlers) => this.links.connect(to, handlers),
      connectBalancer: (to, handlers) => this.links.connect(to, handlers),
      after: (delayMs, run) => setTimeout(run, delayMs),
      logDecision: (name, fields) => logDecision('balancer', name, fields),
      packetLog: createRequestLog({
        nowMs: () => performance.now(),
        write: (name, text) => logLine('balancer', name, text),
        budget: defaultLineBudget,
      }),
    });
  }

  /** Binds the sockets and starts; rejects if a socket can't be bound. */
  static async start(options: IngressDaemonOptions, codec: PacketCodec): Promise<IngressDaemon> {
    const daemon = new IngressDaemon(options, codec);
    daemon.peerSocket = await bindUdp(options.peerAddress, (datagram) => {
      const message = decodeBalancerMessage(datagram);
      if (message !== undefined) {
        daemon.process.handleBalancerMessage(message);
      }
    });
    daemon.packetSocket = await bindUdp(options.packetAddress, (datagram) =>
      daemon.process.handlePacket(datagram),
    );
    await daemon.listenForPeers(options.peerAddress);
    daemon.timer = setInterval(() => daemon.process.tick(), TICK_INTERVAL_MS);
    daemon.process.tick();
    return daemon;
  }

  /** A balancer that can't listen follows peers all the same, and serves clients. */
  private async listenForPeers(peerAddress: Address): Promise<void> {
    const { peerFeeds } = this.process;
    if (peerFeeds === undefined) {
      return;
    }
    const limits = { maxLinks: MAX_PEER_CONNECTIONS, maxFrameBytes: MAX_PEER_FRAME_BYTES };
    try {
      await this.links.listen(peerAddress, peerFeeds.handlers, limits);
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      const address = formatAddress(peerAddress);
      logDecision('balancer', 'peer feeds not given', { address, reason, next: 'goes on without' });
    }
  }

  private sendToBalancer(to: Address, message: BalancerMessage): number {
    const datagram = packr.pack(message);
    this.peerSocket?.send(datagram, to);
    return datagram.length;
  }

  /** True while this balancer accepts new flows. */
  get isReady(): boolean {
    return this.process.isReady;
  }

  /** Replaces the seeds. */
  updateSeeds(seeds: readonly Address[]): void {
    this.process.updateSeeds(seeds);
  }

  /**
   * Stops gracefully: reports not ready, keeps forwarding until packets have ceased, then closes all sockets.
   * @param timeoutMs upper limit for the wait
   */
  async stop(timeoutMs: number): Promise<void> {
    this.process.beginStop();
    const startedAtMs = performance.now();
    await new Promise<void>((resolve) => {
      const poll = setInterval(() => {
        const nowMs = performance.now();
        const quietSinceMs = Math.max(this.process.lastPacketAtMs, startedAtMs);
        if (nowMs - quietSinceMs > MIN_QUIET_BEFORE_STOP_MS || nowMs - startedAtMs > timeoutMs) {
          clearInterval(poll);
          resolve();
        }
      }, STOP_POLL_INTERVAL_MS);
    });
    clearInterval(this.timer);
    this.links.close();
    await Promise.all([this.packetSocket?.close(), this.peerSocket?.close()]);
  }
}

function decodeBalancerMessage(datagram: Uint8Array): BalancerMessage | undefined {
  try {
    return parseBalancerMessage(packr.unpack(datagram));
  } catch {
    // Untrusted input: datagrams that are not valid MessagePack are dropped without a log line, so that they can't flood the
    // log.
    return undefined;
  }
}
