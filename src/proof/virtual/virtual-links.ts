/**
 * @file Virtual TCP connections: messages arrive once and in order, or the connection closes. A network cut stalls a
 * connection silently: data is retransmitted with exponential backoff, and idle ends detect the cut by keep-alive.
 */
import { Packr } from 'msgpackr';
import type { VirtualClock } from './virtual-clock.js';
import type { VirtualNetwork } from './virtual-network.js';

const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 120_000;
/** Keep-alive closes an idle end whose peer has been unreachable for this long. */
const KEEP_ALIVE_TIMEOUT_MS = 15_000;
const KEEP_ALIVE_INTERVAL_MS = 5_000;

const packr = new Packr({ useRecords: false });

/** Callbacks of one end of a connection. */
export interface LinkEndHandlers {
  onMessage(message: unknown): void;
  onClose(): void;
}

/** One end of a connection. */
export class VirtualLinkEnd {
  peer: VirtualLinkEnd | undefined;
  isOpen = true;
  private readonly queue: { readonly bytes: Uint8Array | undefined }[] = [];
  private isDelivering = false;
  private retryMs = FIRST_RETRY_MS;
  private unreachableSinceMs: number | undefined;

  constructor(
    readonly host: string,
    private readonly clock: VirtualClock,
    private readonly network: VirtualNetwork,
    private readonly handlers: LinkEndHandlers,
  ) {
    this.scheduleKeepAliveCheck();
  }

  /** Sends a message; ignored if the connection is closed. */
  send(message: object): void {
    if (this.isOpen) {
      this.enqueue(packr.pack(message));
    }
  }

  /** Closes this end; the peer closes once it is reachable. */
  close(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.enqueue(undefined);
    }
  }

  /** Closes this end without notifying the peer, as when its machine fails. */
  crash(): void {
    this.isOpen = false;
    this.queue.length = 0;
  }

  isClosed(): boolean {
    return !this.isOpen;
  }

  private enqueue(bytes: Uint8Array | undefined): void {
    this.queue.push({ bytes });
    if (!this.isDelivering) {
      this.isDelivering = true;
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
      this.isDelivering = false;
      this.queue.length = 0;
      this.closeEnd();
      return;
    }
    // TCP needs both directions: without acknowledgements it retransmits.
    if (this.network.isCut(this.host, peer.host) || this.network.isCut(peer.host, this.host)) {
      this.scheduleDelivery(this.retryMs);
      this.retryMs = Math.min(MAX_RETRY_MS, this.retryMs * 2);
      return;
    }
    this.retryMs = FIRST_RETRY_MS;
    const batch = this.queue.splice(0, this.queue.length);
    this.isDelivering = false;
    for (const { bytes } of batch) {
      if (bytes === undefined) {
        peer.closeEnd();
      } else if (!peer.isClosed()) {
        peer.handlers.onMessage(packr.unpack(bytes));
      }
    }
  }

  private closeEnd(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.handlers.onClose();
    }
  }

  private scheduleKeepAliveCheck(): void {
    this.clock.after(KEEP_ALIVE_INTERVAL_MS, () => {
      if (!this.isOpen) {
        return;
      }
      this.checkReachable();
      this.scheduleKeepAliveCheck();
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
    const isTimedOut = this.clock.nowMs - this.unreachableSinceMs >= KEEP_ALIVE_TIMEOUT_MS;
    if (isTimedOut && this.queue.length === 0) {
      this.closeEnd();
    }
  }
}

/** The two ends of a new connection: `near` connects, `far` listens. */
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
