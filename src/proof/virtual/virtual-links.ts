/**
 * @file Virtual TCP connections: messages arrive in order and once, or the connection breaks. A cut
 * stalls a connection silently: it is tried again with growing delays, as TCP does, and an end
 * that has nothing to send finds out by keep-alive.
 */
import { Packr } from 'msgpackr';
import type { VirtualClock } from './virtual-clock.js';
import type { VirtualNetwork } from './virtual-network.js';

/** Until a stalled message is tried again the first time, and the longest such time. */
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 120_000;
/** Keep-alive closes an idle end that has not reached its peer for this time. */
const KEEP_ALIVE_LIMIT_MS = 15_000;
const KEEP_ALIVE_CHECK_MS = 5_000;

const packr = new Packr({ useRecords: false });

/** What is called at one end of a connection. */
export interface LinkEndHandlers {
  onMessage(message: unknown): void;
  onClose(): void;
}

/** One end of a connection. */
export class VirtualLinkEnd {
  peer: VirtualLinkEnd | undefined;
  isOpen = true;
  private readonly queue: { readonly bytes: Uint8Array | undefined }[] = [];
  private delivering = false;
  private retryMs = FIRST_RETRY_MS;
  private unreachableSinceMs: number | undefined;

  constructor(
    readonly host: string,
    private readonly clock: VirtualClock,
    private readonly network: VirtualNetwork,
    private readonly handlers: LinkEndHandlers,
  ) {
    this.watch();
  }

  /** Sends a message; nothing where the connection is closed. */
  send(message: object): void {
    if (this.isOpen) {
      this.enqueue(packr.pack(message));
    }
  }

  /** Closes this end; the peer is closed once it can be reached. */
  close(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.enqueue(undefined);
    }
  }

  /** The machine of this end is gone: nothing is sent to the peer. */
  vanish(): void {
    this.isOpen = false;
    this.queue.length = 0;
  }

  isClosed(): boolean {
    return !this.isOpen;
  }

  private enqueue(bytes: Uint8Array | undefined): void {
    this.queue.push({ bytes });
    if (!this.delivering) {
      this.delivering = true;
      this.scheduleDelivery(0);
    }
  }

  private scheduleDelivery(waitMs: number): void {
    const to = this.peer?.host ?? this.host;
    this.clock.after(waitMs + this.network.delayBetween(this.host, to), () => this.deliver());
  }

  private deliver(): void {
    const { peer } = this;
    if (peer?.isOpen !== true) {
      this.delivering = false;
      this.queue.length = 0;
      this.breakEnd();
      return;
    }
    // TCP needs both ways: without acknowledgements it sends the same bytes again.
    if (this.network.isCut(this.host, peer.host) || this.network.isCut(peer.host, this.host)) {
      this.scheduleDelivery(this.retryMs);
      this.retryMs = Math.min(MAX_RETRY_MS, this.retryMs * 2);
      return;
    }
    this.retryMs = FIRST_RETRY_MS;
    const batch = this.queue.splice(0, this.queue.length);
    this.delivering = false;
    for (const { bytes } of batch) {
      if (bytes === undefined) {
        peer.breakEnd();
      } else if (!peer.isClosed()) {
        peer.handlers.onMessage(packr.unpack(bytes));
      }
    }
  }

  private breakEnd(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.handlers.onClose();
    }
  }

  private watch(): void {
    this.clock.after(KEEP_ALIVE_CHECK_MS, () => {
      if (!this.isOpen) {
        return;
      }
      this.checkReachable();
      this.watch();
    });
  }

  private checkReachable(): void {
    const { peer } = this;
    const isReachable =
      peer?.isOpen === true &&
      !this.network.isCut(this.host, peer.host) &&
      !this.network.isCut(peer.host, this.host);
    if (isReachable) {
      this.unreachableSinceMs = undefined;
      return;
    }
    this.unreachableSinceMs ??= this.clock.nowMs;
    const isOver = this.clock.nowMs - this.unreachableSinceMs >= KEEP_ALIVE_LIMIT_MS;
    if (isOver && this.queue.length === 0) {
      this.breakEnd();
    }
  }
}

/** The two ends of a new connection. */
export interface VirtualLinkPair {
  readonly near: VirtualLinkEnd;
  readonly far: VirtualLinkEnd;
}

/**
 * Connects two hosts.
 * @param near handlers of the end that connects
 * @param far handlers of the end that listens
 */
export function connectVirtualLink(
  clock: VirtualClock,
  network: VirtualNetwork,
  hosts: { readonly near: string; readonly far: string },
  near: LinkEndHandlers,
  far: LinkEndHandlers,
): VirtualLinkPair {
  const nearEnd = new VirtualLinkEnd(hosts.near, clock, network, near);
  const farEnd = new VirtualLinkEnd(hosts.far, clock, network, far);
  nearEnd.peer = farEnd;
  farEnd.peer = nearEnd;
  return { near: nearEnd, far: farEnd };
}
