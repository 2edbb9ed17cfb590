/**
 * @file The simulated network of the registered mode: datagrams and framed links with keep-alive between hosts, with
 * delays, loss, bandwidth limits and silent cuts. The managed mode uses `virtual-network` and `virtual-links`; the two
 * consume random numbers in different orders, so merging them would change every seeded run.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { encodeFrame } from '../../shared/common/frame-codec.js';
import type { RandomSource } from '../../shared/common/step.js';
import type { VirtualClock } from './virtual-clock.js';
import { createStreamQueue, type StreamQueue, type Transfer } from './stream-queue.js';

/** One-way delay between any two hosts, plus up to `JITTER_MS`; typical for zones of one region. */
const DELAY_MS = 0.5;
const JITTER_MS = 0.5;
/** A link is closed when nothing was received for this long. */
const LINK_TIMEOUT_MS = 1_200;
/** One third of the link timeout. */
const KEEP_ALIVE_INTERVAL_MS = 400;

/** One end of a virtual link. */
export interface VirtualLink {
  /** @returns the encoded size of the message in bytes */
  send(message: object): number;
  close(): void;
  /** True until the connection is established. */
  readonly isConnecting: boolean;
}

/** Callbacks of one end of a link. */
export interface VirtualLinkHandlers {
  /** @returns false for an unexpected message; the link is then closed */
  onMessage(message: unknown, link: VirtualLink): boolean;
  onClose(link: VirtualLink, reason: string): void;
}

interface LinkEnd extends VirtualLink {
  readonly host: string;
  readonly handlers: VirtualLinkHandlers;
  peer: LinkEnd | undefined;
  isOpen: boolean;
  /** If true, everything sent from this end is dropped silently. */
  isSilent: boolean;
  lastReceivedAtMs: number;
  /** Arrival time of the last message sent; keeps messages in order. */
  lastArrivalAtMs: number;
  /** Pending transfers from this end over bandwidth-limited hosts. */
  transfers: Transfer[];
}

/** Outbound bandwidth of a host and the size of its queue; datagrams that do not fit are dropped. */
export interface LinkLimit {
  readonly bytesPerMs: number;
  readonly queueBytes: number;
}

interface LimitedLink extends LinkLimit {
  /** When the queue is empty. */
  freeAtMs: number;
}

interface HostStreams {
  readonly out: StreamQueue;
  readonly in: StreamQueue;
}

/** Observes the size of every sent datagram and of every delivered link message. */
export type SendObserver = (fromHost: string, toHost: string, sentBytes: number) => void;

/** Delivers datagrams and link messages between hosts. */
export class VirtualWires {
  /** Share of datagrams that are lost, 0 to 1. */
  lossShare = 0;
  onSent: SendObserver | undefined;
  private readonly datagramHandlers = new Map<string, (bytes: Uint8Array) => void>();
  private readonly listeners = new Map<string, VirtualLinkHandlers>();
  private readonly cuts = new Set<string>();
  private readonly deadHosts = new Set<string>();
  private readonly ends = new Set<LinkEnd>();
  private readonly limits = new Map<string, LimitedLink>();
  /** Bandwidth-limited link traffic in and out of a host, by host. */
  private readonly streams = new Map<string, HostStreams>();
  /** Number of datagrams dropped because an outbound queue was full. */
  lostOnFullLinks = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
  ) {
    this.scheduleKeepAlive();
  }

  /** Cuts or restores both directions between two hosts. */
  cut(a: string, b: string, isCut: boolean): void {
    this.cutOneWay(a, b, isCut);
    this.cutOneWay(b, a, isCut);
  }

  /** Cuts or restores one direction between two hosts. */
  cutOneWay(from: string, to: string, isCut: boolean): void {
    if (isCut) {
      this.cuts.add(`${from}|${to}`);
    } else {
      this.cuts.delete(`${from}|${to}`);
    }
  }

  /** Removes all cuts. */
  heal(): void {
    this.cuts.clear();
  }

  /** Drops all further traffic on a random share of the open links, without a reset; new links work. */
  silenceLinks(share: number): void {
    for (const end of this.ends) {
      if (this.random.nextFloat() < share) {
        silence(end);
      }
    }
  }

  /** Drops all further traffic on the open links of a host; new links work. */
  silenceLinksOf(host: string): void {
    this.endsAt(host).forEach(silence);
  }

  /** Closes all links of a host at both ends. */
  resetLinksOf(host: string): void {
    this.endsAt(host).forEach((end) => this.closeEnd(end, true, 'Reset.'));
  }

  private endsAt(host: string): LinkEnd[] {
    return [...this.ends].filter((end) => end.host === host || end.peer?.host === host);
  }

  canReach(from: string, to: string): boolean {
    return !this.cuts.has(`${from}|${to}`) && !this.deadHosts.has(from) && !this.deadHosts.has(to);
  }

  /** The process on a host has died: its links are reset and its addresses unbound. */
  hostDied(host: string): void {
    this.deadHosts.add(host);
    for (const address of [...this.datagramHandlers.keys(), ...this.listeners.keys()]) {
      if (address.startsWith(`${host}:`)) {
        this.datagramHandlers.delete(address);
        this.listeners.delete(address);
      }
    }
    for (const end of this.ends) {
      if (end.host === host) {
        this.closeEnd(end, false, 'The process died.');
      }
    }
  }

  hostStarted(host: string): void {
    this.deadHosts.delete(host);
  }

  onDatagram(address: Address, handler: (bytes: Uint8Array) => void): void {
    this.datagramHandlers.set(formatAddress(address), handler);
  }

  sendDatagram(fromHost: string, to: Address, bytes: Uint8Array): void {
    this.onSent?.(fromHost, to.host, bytes.length);
    if (this.random.nextFloat() < this.lossShare) {
      return;
    }
    const queuedMs = this.queueDatagram(fromHost, bytes.length);
    if (queuedMs === undefined) {
      this.lostOnFullLinks += 1;
      return;
    }
    this.clock.after(queuedMs + this.delayMs(), () => {
      if (this.canReach(fromHost, to.host)) {
        this.datagramHandlers.get(formatAddress(to))?.(bytes);
      }
    });
  }

  /** Limits the outbound datagram bandwidth of a host. */
  limitLink(host: string, limit: LinkLimit): void {
    this.limits.set(host, { ...limit, freeAtMs: this.clock.nowMs });
  }

  /**
   * Limits the bandwidth of the links of a host in each direction; excess traffic is queued.
   * @param bytesPerMs undefined to remove the limit
   */
  limitStreams(host: string, bytesPerMs: number | undefined): void {
    if (bytesPerMs === undefined) {
      this.streams.delete(host);
      return;
    }
    this.streams.set(host, {
      out: createStreamQueue(bytesPerMs),
      in: createStreamQueue(bytesPerMs),
    });
  }

  /** @returns the queueing and transmission time in milliseconds; undefined if the queue is full */
  private queueDatagram(host: string, bytes: number): number | undefined {
    const limit = this.limits.get(host);
    if (limit === undefined) {
      return 0;
    }
    const { nowMs } = this.clock;
    const waitMs = Math.max(0, limit.freeAtMs - nowMs);
    if (waitMs * limit.bytesPerMs + bytes > limit.queueBytes) {
      return undefined;
    }
    limit.freeAtMs = nowMs + waitMs + bytes / limit.bytesPerMs;
    return limit.freeAtMs - nowMs;
  }

  listen(address: Address, handlers: VirtualLinkHandlers): void {
    this.listeners.set(formatAddress(address), handlers);
  }

  /** Connects to a listener; an unreachable host is detected only by the link timeout. */
  connect(fromHost: string, to: Address, handlers: VirtualLinkHandlers): VirtualLink {
    const near = this.makeEnd(fromHost, handlers);
    this.clock.after(this.delayMs(), () => {
      const listener = this.listeners.get(formatAddress(to));
      if (!this.canReach(fromHost, to.host) || !near.isOpen) {
        return;
      }
      if (listener === undefined) {
        this.closeEnd(near, true, 'Nobody listens.');
        return;
      }
      const far = this.makeEnd(to.host, listener);
      near.peer = far;
      far.peer = near;
    });
    return near;
  }

  private makeEnd(host: string, handlers: VirtualLinkHandlers): LinkEnd {
    const end: LinkEnd = {
      host,
      handlers,
      peer: undefined,
      isOpen: true,
      isSilent: false,
      lastReceivedAtMs: this.clock.nowMs,
      lastArrivalAtMs: 0,
      transfers: [],
      send: (message) => this.sendMessage(end, message),
      close: () => this.closeEnd(end, true, 'Closed here.'),
      get isConnecting() {
        return end.peer === undefined;
      },
    };
    this.ends.add(end);
    return end;
  }

  private sendMessage(end: LinkEnd, message: object): number {
    const bytes = encodeFrame(message).length;
    const passedAtMs = this.enqueueOnStreams(end, bytes);
    const arrivesAtMs = Math.max(end.lastArrivalAtMs, passedAtMs + 2 * this.delayMs());
    end.lastArrivalAtMs = arrivesAtMs;
    this.clock.after(arrivesAtMs - this.clock.nowMs, () => {
      const { peer } = end;
      if (!end.isOpen || peer?.isOpen !== true || !this.canDeliver(end, peer)) {
        return;
      }
      peer.lastReceivedAtMs = this.clock.nowMs;
      this.onSent?.(end.host, peer.host, bytes);
      if (!peer.handlers.onMessage(structuredClone(message), peer)) {
        this.closeEnd(peer, true, 'A message does not belong here.');
      }
    });
    return bytes;
  }

  /** @returns when a message has passed the bandwidth limits of both hosts, in milliseconds */
  private enqueueOnStreams(end: LinkEnd, bytes: number): number {
    const { nowMs } = this.clock;
    const out = this.streams.get(end.host)?.out;
    const into = end.peer === undefined ? undefined : this.streams.get(end.peer.host)?.in;
    end.transfers = end.transfers.filter(({ doneAtMs }) => doneAtMs > nowMs);
    let passedAtMs = nowMs;
    for (const queue of [out, into]) {
      if (queue !== undefined) {
        const transfer = queue.enqueue(bytes, passedAtMs);
        end.transfers.push(transfer);
        passedAtMs = transfer.doneAtMs;
      }
    }
    return passedAtMs;
  }

  private closeEnd(end: LinkEnd, notifiesHandler: boolean, reason: string): void {
    if (!end.isOpen) {
      return;
    }
    end.isOpen = false;
    for (const { transfers } of end.peer === undefined ? [end] : [end, end.peer]) {
      transfers.forEach((transfer) => transfer.cancel(this.clock.nowMs));
    }
    this.ends.delete(end);
    const { peer } = end;
    if (peer?.isOpen === true && this.canDeliver(end, peer)) {
      this.clock.after(this.delayMs(), () => this.closeEnd(peer, true, 'The other end closed.'));
    }
    if (notifiesHandler) {
      end.handlers.onClose(end, reason);
    }
  }

  private canDeliver(from: LinkEnd, to: LinkEnd): boolean {
    return !from.isSilent && this.canReach(from.host, to.host);
  }

  /** Records a keep-alive frame at each reachable end and closes ends that have timed out. */
  private scheduleKeepAlive(): void {
    this.clock.after(KEEP_ALIVE_INTERVAL_MS, () => {
      for (const end of [...this.ends]) {
        const { peer } = end;
        if (peer?.isOpen === true && this.canDeliver(peer, end)) {
          end.lastReceivedAtMs = this.clock.nowMs;
        } else if (this.clock.nowMs - end.lastReceivedAtMs > LINK_TIMEOUT_MS) {
          this.closeEnd(end, true, 'Silent.');
        }
      }
      this.scheduleKeepAlive();
    });
  }

  private delayMs(): number {
    return DELAY_MS + this.random.nextFloat() * JITTER_MS;
  }
}

function silence(end: LinkEnd): void {
  if (end.peer !== undefined) {
    end.isSilent = true;
    end.peer.isSilent = true;
  }
}
