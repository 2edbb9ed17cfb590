/**
 * @file The network of the registered pair's simulator: datagrams, and links of frames with pulses, between hosts; with delays, losses, bandwidth
 * and silent cuts. `virtual-network` and `virtual-links` model the managed pair's: messages over TCP that retries, and
 * datagrams that are doubled. Each draws its delays in an order of its own, so one in place of the other would change the runs of kept seeds.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { encodeFrame } from '../../shared/common/frame-codec.js';
import type { RandomSource } from '../../shared/common/step.js';
import type { VirtualClock } from './virtual-clock.js';
import { createStreamQueue, type StreamQueue, type Transfer } from './stream-queue.js';

const DELAY_MS = 0.5;
const JITTER_MS = 0.5;
/** A link whose other end is gone or cut off is given up after this time. */
const LINK_SILENT_MS = 1_200;
const LINK_PULSE_MS = 400;

/** One end of a virtual link. */
export interface VirtualLink {
  /** @returns how many bytes the message takes */
  send(message: object): number;
  close(): void;
}

/** What happens at one end of a link. */
export interface VirtualLinkHandlers {
  onMessage(message: unknown, link: VirtualLink): boolean;
  onClose(link: VirtualLink, reason: string): void;
}

interface LinkEnd extends VirtualLink {
  readonly host: string;
  readonly handlers: VirtualLinkHandlers;
  peer: LinkEnd | undefined;
  isOpen: boolean;
  /** What is sent from here is lost silently. */
  isSilent: boolean;
  heardAtMs: number;
  /** When the last message from here arrives, so that messages stay in order. */
  arrivesAtMs: number;
  /** What was sent from here and passes limited links of hosts. */
  transfers: Transfer[];
}

/** What the link of a host carries outwards; datagrams that do not fit into its queue are lost. */
export interface LinkLimit {
  readonly bytesPerMs: number;
  readonly queueBytes: number;
}

interface LimitedLink extends LinkLimit {
  /** When all that was sent has left. */
  freeAtMs: number;
}

interface HostStreams {
  readonly out: StreamQueue;
  readonly in: StreamQueue;
}

/** Called with everything that is sent, for measurements; what a link sends goes to the host of its other end. */
export type SendObserver = (fromHost: string, toHost: string, sentBytes: number) => void;

/** Carries datagrams and links. */
export class VirtualWires {
  /** Share of datagrams that are lost. */
  lossShare = 0;
  onSent: SendObserver | undefined;
  private readonly datagramHandlers = new Map<string, (bytes: Uint8Array) => void>();
  private readonly listeners = new Map<string, VirtualLinkHandlers>();
  private readonly cuts = new Set<string>();
  private readonly dead = new Set<string>();
  private readonly ends = new Set<LinkEnd>();
  private readonly limits = new Map<string, LimitedLink>();
  /** What links of processes carry out of a host and into it, by host. */
  private readonly streams = new Map<string, HostStreams>();
  /** Datagrams that were lost on a full link. */
  lostOnFullLinks = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
  ) {
    this.pulse();
  }

  /** Cuts two hosts from each other, or joins them again. */
  cut(a: string, b: string, isCut: boolean): void {
    this.cutOneWay(a, b, isCut);
    this.cutOneWay(b, a, isCut);
  }

  /** Nothing passes from one host to another, or passes again; the other way it does. */
  cutOneWay(from: string, to: string, isCut: boolean): void {
    if (isCut) {
      this.cuts.add(`${from}|${to}`);
    } else {
      this.cuts.delete(`${from}|${to}`);
    }
  }

  /** Joins all hosts. */
  heal(): void {
    this.cuts.clear();
  }

  /** Open links go silent for good, in both directions and without a reset; new ones work. */
  silenceLinks(share: number): void {
    for (const end of this.ends) {
      if (this.random.nextFloat() < share) {
        silence(end);
      }
    }
  }

  /** The same for all open links of one host. */
  silenceLinksOf(host: string): void {
    this.endsAt(host).forEach(silence);
  }

  /** Ends all links of a host; both ends are closed. */
  resetLinksOf(host: string): void {
    this.endsAt(host).forEach((end) => this.drop(end, true, 'Reset.'));
  }

  private endsAt(host: string): LinkEnd[] {
    return [...this.ends].filter((end) => end.host === host || end.peer?.host === host);
  }

  reaches(from: string, to: string): boolean {
    return !this.cuts.has(`${from}|${to}`) && !this.dead.has(from) && !this.dead.has(to);
  }

  /** The process of a host died: its links are reset, its addresses take nothing. */
  hostDied(host: string): void {
    this.dead.add(host);
    for (const address of [...this.datagramHandlers.keys(), ...this.listeners.keys()]) {
      if (address.startsWith(`${host}:`)) {
        this.datagramHandlers.delete(address);
        this.listeners.delete(address);
      }
    }
    for (const end of this.ends) {
      if (end.host === host) {
        this.drop(end, false, 'The process died.');
      }
    }
  }

  hostStarted(host: string): void {
    this.dead.delete(host);
  }

  onDatagram(address: Address, handler: (bytes: Uint8Array) => void): void {
    this.datagramHandlers.set(formatAddress(address), handler);
  }

  sendDatagram(fromHost: string, to: Address, bytes: Uint8Array): void {
    this.onSent?.(fromHost, to.host, bytes.length);
    if (this.random.nextFloat() < this.lossShare) {
      return;
    }
    const queuedMs = this.queueOn(fromHost, bytes.length);
    if (queuedMs === undefined) {
      this.lostOnFullLinks += 1;
      return;
    }
    this.clock.after(queuedMs + this.delayMs(), () => {
      if (this.reaches(fromHost, to.host)) {
        this.datagramHandlers.get(formatAddress(to))?.(bytes);
      }
    });
  }

  /** Gives the link of a host a bandwidth, for what it sends from now on. */
  limitLink(host: string, limit: LinkLimit): void {
    this.limits.set(host, { ...limit, freeAtMs: this.clock.nowMs });
  }

  /**
   * Gives the links of processes on a host a bandwidth in each direction; what does not fit waits.
   * @param bytesPerMs undefined for no limit any more
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

  /** @returns how long bytes take to leave a host; undefined where its queue has no room for them */
  private queueOn(host: string, bytes: number): number | undefined {
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

  /** Connects; a cut or dead host is noticed only after the silence of a link. */
  connect(fromHost: string, to: Address, handlers: VirtualLinkHandlers): VirtualLink {
    const near = this.makeEnd(fromHost, handlers);
    this.clock.after(this.delayMs(), () => {
      const listener = this.listeners.get(formatAddress(to));
      if (!this.reaches(fromHost, to.host) || !near.isOpen) {
        return;
      }
      if (listener === undefined) {
        this.drop(near, true, 'Nobody listens.');
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
      heardAtMs: this.clock.nowMs,
      arrivesAtMs: 0,
      transfers: [],
      send: (message) => this.sendOn(end, message),
      close: () => this.drop(end, true, 'Closed here.'),
    };
    this.ends.add(end);
    return end;
  }

  private sendOn(end: LinkEnd, message: object): number {
    const bytes = encodeFrame(message).length;
    const passedAtMs = this.passStreams(end, bytes);
    const arrivesAtMs = Math.max(end.arrivesAtMs, passedAtMs + 2 * this.delayMs());
    end.arrivesAtMs = arrivesAtMs;
    this.clock.after(arrivesAtMs - this.clock.nowMs, () => {
      const { peer } = end;
      if (!end.isOpen || peer?.isOpen !== true || !this.carries(end, peer)) {
        return;
      }
      peer.heardAtMs = this.clock.nowMs;
      this.onSent?.(end.host, peer.host, bytes);
      if (!peer.handlers.onMessage(structuredClone(message), peer)) {
        this.drop(peer, true, 'A message does not belong here.');
      }
    });
    return bytes;
  }

  /** @returns when a message has passed the limited links of both hosts */
  private passStreams(end: LinkEnd, bytes: number): number {
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

  private drop(end: LinkEnd, tells: boolean, reason: string): void {
    if (!end.isOpen) {
      return;
    }
    end.isOpen = false;
    for (const { transfers } of end.peer === undefined ? [end] : [end, end.peer]) {
      transfers.forEach((transfer) => transfer.giveUp(this.clock.nowMs));
    }
    this.ends.delete(end);
    const { peer } = end;
    if (peer?.isOpen === true && this.carries(end, peer)) {
      this.clock.after(this.delayMs(), () => this.drop(peer, true, 'The other end closed.'));
    }
    if (tells) {
      end.handlers.onClose(end, reason);
    }
  }

  private carries(from: LinkEnd, to: LinkEnd): boolean {
    return !from.isSilent && this.reaches(from.host, to.host);
  }

  /** Each end gets a pulse of the other now and then, unless they are cut off. */
  private pulse(): void {
    this.clock.after(LINK_PULSE_MS, () => {
      for (const end of [...this.ends]) {
        const { peer } = end;
        if (peer?.isOpen === true && this.carries(peer, end)) {
          end.heardAtMs = this.clock.nowMs;
        } else if (this.clock.nowMs - end.heardAtMs > LINK_SILENT_MS) {
          this.drop(end, true, 'Silent.');
        }
      }
      this.pulse();
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
