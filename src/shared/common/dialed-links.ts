/**
 * @file When is a link that broke dialed again?
 *
 * Inputs: when the link was opened and when it closed (ms on the process's clock), and the bounds of the delay.
 *
 * A process has one link to each address, dialed when there is something to send. Once it broke it is dialed again after a
 * delay, which doubles with each failure that follows and begins anew for a link that lasted longer than the longest
 * delay. What can't be sent meanwhile is dropped, since the protocols above send again; nothing is dialed without a
 * message to send, so an address that is gone for good costs nothing.
 *
 * Owns the links by address; the caller gives the delays and their reason.
 */
import { formatAddress, type Address } from './address.js';

/** What a dialed link can do. */
export interface DialedLink {
  send(message: object): void;
}

/** How links are opened; all times in milliseconds. */
export interface DialOptions<Link extends DialedLink> {
  nowMs(): number;
  /**
   * Opens a link.
   * @param onClose called once, when the link has closed
   * @returns undefined where it can't be opened; `onClose` is not called then
   */
  dial(to: Address, onClose: () => void): Link | undefined;
  readonly firstRetryDelayMs: number;
  /** The delay doubles up to here; after a link that lasted longer it is `firstRetryDelayMs` again. */
  readonly maxRetryDelayMs: number;
}

/** Links to other processes. */
export interface DialedLinks<Link extends DialedLink> {
  /** Sends a message, or drops it where the link broke a moment ago. */
  send(to: Address, message: object): void;
  /** Forgets all links and opens none from now on; the caller ends those that it is given. */
  close(end: (link: Link) => void): void;
}

interface Peer<Link> {
  link: Link | undefined;
  retryDelayMs: number;
  retryAtMs: number;
}

/**
 * @returns links, none of them open
 */
export function createDialedLinks<Link extends DialedLink>(
  options: DialOptions<Link>,
): DialedLinks<Link> {
  const { firstRetryDelayMs, maxRetryDelayMs } = options;
  const peers = new Map<string, Peer<Link>>();
  let isClosed = false;

  return { send, close };

  function send(to: Address, message: object): void {
    if (isClosed) {
      return;
    }
    const peer = peerAt(to);
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

  function peerAt(to: Address): Peer<Link> {
    const name = formatAddress(to);
    const known = peers.get(name);
    if (known !== undefined) {
      return known;
    }
    const peer: Peer<Link> = {
      link: undefined,
      retryDelayMs: firstRetryDelayMs,
      retryAtMs: Number.NEGATIVE_INFINITY,
    };
    peers.set(name, peer);
    return peer;
  }

  function open(to: Address, peer: Peer<Link>): void {
    const openedAtMs = options.nowMs();
    peer.link = options.dial(to, () => recordClosed(peer, openedAtMs));
    if (peer.link === undefined) {
      recordClosed(peer, openedAtMs);
    }
  }

  function recordClosed(peer: Peer<Link>, openedAtMs: number): void {
    const nowMs = options.nowMs();
    const hasLasted = nowMs - openedAtMs > maxRetryDelayMs;
    peer.link = undefined;
    peer.retryAtMs = nowMs + (hasLasted ? firstRetryDelayMs : peer.retryDelayMs);
    peer.retryDelayMs = hasLasted
      ? firstRetryDelayMs
      : Math.min(maxRetryDelayMs, peer.retryDelayMs * 2);
  }
}
