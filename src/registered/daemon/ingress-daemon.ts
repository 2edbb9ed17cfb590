/**
 * @file The daemon of a balancer: owns its two UDP sockets (packets of clients, messages of other balancers), its links to
 * control machines and its timer, around the process that decides (`ingress-process.ts`).
 */
import { Packr } from 'msgpackr';
import type { Address } from '../../shared/common/address.js';
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

/** What a daemon needs besides: the addresses that it binds, and the times of its links. */
export interface IngressDaemonOptions extends IngressProcessOptions {
  /** UDP, for packets of clients. */
  readonly packetAddress: Address;
  readonly timing: Timing;
}

/** Well below the shortest time that a tick decides on (`group/timing.ts`). Not measured. */
const TICK_INTERVAL_MS = 100;
/**
 * A balancer that stops goes on until no packet came for so long: longer than a client waits between two copies of an open
 * (200 and 400 ms), so that a flow that was on its way here is not lost. Not measured; `dropped` lines of other
 * balancers for opens right after a stop would show it too short.
 */
const QUIET_BEFORE_STOP_MS = 700;
/** How often a balancer that stops looks whether it has been quiet for long enough. */
const POLL_STOP_MS = 50;

const packr = new Packr({ useRecords: false });

/** A running balancer. */
export class IngressDaemon {
  private readonly links: FrameLinks;
  /** Read by metrics. */
  readonly process: IngressProcess;
  private packets: UdpSocket | undefined;
  private peerSocket: UdpSocket | undefined;
  private timer: NodeJS.Timeout | undefined;

  private constructor(options: IngressDaemonOptions, codec: PacketCodec) {
    this.links = new FrameLinks(frameLinkOptions(options.timing));
    this.process = createIngressProcess(options, codec, {
      nowMs: () => performance.now(),
      sendPacket: (datagram, to) => this.packets?.send(datagram, to),
      sendToBalancer: (to, message) => this.sendToBalancer(to, message),
      connectControl: (to, handlers) => this.links.connect(to, handlers),
      after: (delayMs, run) => setTimeout(run, delayMs),
      logDecision: (name, fields) => logDecision('balancer', name, fields),
      packetLog: createRequestLog({
        nowMs: () => performance.now(),
        write: (name, text) => logLine('balancer', name, text),
        budget: defaultLineBudget,
      }),
    });
  }

  /** Binds the sockets; rejects where one can't be bound. */
  static async start(options: IngressDaemonOptions, codec: PacketCodec): Promise<IngressDaemon> {
    const daemon = new IngressDaemon(options, codec);
    daemon.peerSocket = await bindUdp(options.peerAddress, (datagram) => {
      const message = decodeBalancerMessage(datagram);
      if (message !== undefined) {
        daemon.process.handleBalancerMessage(message);
      }
    });
    daemon.packets = await bindUdp(options.packetAddress, (datagram) =>
      daemon.process.handlePacket(datagram),
    );
    daemon.timer = setInterval(() => daemon.process.tick(), TICK_INTERVAL_MS);
    daemon.process.tick();
    return daemon;
  }

  private sendToBalancer(to: Address, message: BalancerMessage): number {
    const datagram = packr.pack(message);
    this.peerSocket?.send(datagram, to);
    return datagram.length;
  }

  /** True where new flows may be sent here. */
  get isReady(): boolean {
    return this.process.isReady;
  }

  /** Replaces the control machines that are looked for first. */
  updateSeeds(seeds: readonly Address[]): void {
    this.process.updateSeeds(seeds);
  }

  /**
   * Leaves: not ready from now on, forwards until no packets come any more, then stops.
   * @param withinMs the longest time this may take
   */
  async stop(withinMs: number): Promise<void> {
    this.process.leave();
    const startedAtMs = performance.now();
    await new Promise<void>((resolve) => {
      const poll = setInterval(() => {
        const nowMs = performance.now();
        const quietSinceMs = Math.max(this.process.lastPacketAtMs, startedAtMs);
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
}

function decodeBalancerMessage(datagram: Uint8Array): BalancerMessage | undefined {
  try {
    return parseBalancerMessage(packr.unpack(datagram));
  } catch {
    // Anybody may send to the port: bytes that are no MessagePack are dropped like a message of an unknown form, without a
    // line, since a flood of them must not become a flood of lines.
    return undefined;
  }
}
