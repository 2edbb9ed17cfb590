/**
 * @file Outbound links, one per address, opened when there is a message to send. Failed links are reopened with exponential
 * backoff; messages are dropped meanwhile, and the protocols above retransmit.
 */
import { formatAddress, type Address } from './address.js';

/** An open link. */
export interface OutboundLink {
  send(message: object): void;
  /** True until the connection is established; undefined if that is unknown. */
  readonly isConnecting?: boolean;
}

/** How links are opened and reopened; all times in milliseconds. */
export interface OutboundLinkOptions<Link extends OutboundLink> {
  nowMs(): number;
  /**
   * Opens a link.
   * @param onClose called once, when the link has closed
   * @returns undefined if the link can't be opened; `onClose` is not called then
   */
  dial(to: Address, onClose: () => void): Link | undefined;
  readonly firstRetryDelayMs: number;
  /** Upper bound of the delay. A link that stayed open for longer resets the delay to `firstRetryDelayMs`. */
  readonly maxRetryDelayMs: number;
}

/** Links to other processes, by address. */
export interface OutboundLinks<Link extends OutboundLink> {
  /** Sends a message; drops it while the link is down and its retry delay has not passed. */
  send(to: Address, message: object): void;
  /**
   * Records that a peer runs, since something has arrived from it. A link to it that is still being established was
   * probably dialled while the peer was off, so it is replaced; an outstanding retry is due at once.
   * @param end closes the replaced link
   */
  recordHeard(from: Address, end: (link: Link) => void): void;
  /** Removes all links and opens no more; calls `end` with each open link, which the caller must close. */
  close(end: (link: Link) => void): void;
}

interface Peer<Link> {
  link: Link | undefined;
  retryDelayMs: number;
  retryAtMs: number;
  openedAtMs: number;
  /** Number of links opened to this peer. */
  openings: number;
}

/**
 * @returns a collection without open links
 */
export function createOutboundLinks<Link extends OutboundLink>(
  options: OutboundLinkOptions<Link>,
): OutboundLinks<Link> {
  const { firstRetryDelayMs, maxRetryDelayMs } = options;
  const peers = new Map<string, Peer<Link>>();
  let isClosed = false;

  return { send, recordHeard, close };

  function send(to: Address, message: object): void {
    if (isClosed) {
      return;
    }
    const peer = findOrCreatePeer(to);
    if (peer.link === undefined && options.nowMs() >= peer.retryAtMs) {
      open(to, peer);
    }
    peer.link?.send(message);
  }

  function close(end: (link: Link) => void): void {
    isClosed = true;
    const open = [...peers.values()].flatMap(({ link }) => (link === undefined ? [] : [link]));
    peers.clear();
    open.forEach(end);
  }

  function findOrCreatePeer(to: Address): Peer<Link> {
    const name = formatAddress(to);
    const existing = peers.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const peer: Peer<Link> = {
      link: undefined,
      retryDelayMs: firstRetryDelayMs,
      retryAtMs: Number.NEGATIVE_INFINITY,
      openedAtMs: Number.NEGATIVE_INFINITY,
      openings: 0,
    };
    peers.set(name, peer);
    return peer;
  }

  function open(to: Address, peer: Peer<Link>): void {
    const openedAtMs = options.nowMs();
    peer.openedAtMs = openedAtMs;
    peer.openings += 1;
    const opening = peer.openings;
    peer.link = options.dial(to, () => {
      const isReplaced = opening !== peer.openings;
      if (!isReplaced) {
        recordClosed(peer, openedAtMs);
      }
    });
    if (peer.link === undefined) {
      recordClosed(peer, openedAtMs);
    }
  }

  function recordHeard(from: Address, end: (link: Link) => void): void {
    const peer = peers.get(formatAddress(from));
    if (isClosed || peer === undefined) {
      return;
    }
    const { link } = peer;
    const isOverdue = options.nowMs() - peer.openedAtMs >= firstRetryDelayMs;
    if (link === undefined) {
      peer.retryAtMs = Math.min(peer.retryAtMs, options.nowMs());
    } else if (link.isConnecting === true && isOverdue) {
      open(from, peer);
      end(link);
    }
  }

  function recordClosed(peer: Peer<Link>, openedAtMs: number): void {
    const nowMs = options.nowMs();
    const wasStable = nowMs - openedAtMs > maxRetryDelayMs;
    peer.link = undefined;
    peer.retryAtMs = nowMs + (wasStable ? firstRetryDelayMs : peer.retryDelayMs);
    peer.retryDelayMs = wasStable
      ? firstRetryDelayMs
      : Math.min(maxRetryDelayMs, peer.retryDelayMs * 2);
  }
}
