/**
 * @file The links to other control machines: one outgoing TCP link per address, opened when something
 * is sent and again, after a growing delay, when it broke. What is sent meanwhile is dropped; consensus
 * sends it again.
 */
import { formatAddress, type Address } from '../common/address.js';
import type { PeerEnvelope } from '../control/peer-messages.js';
import { connectLink, type MessageLink } from './message-link.js';

const FIRST_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;

interface PeerLink {
  link: MessageLink | undefined;
  retryDelayMs: number;
  retryAtMs: number;
}

/** All outgoing links of a control machine. */
export class PeerLinks {
  private readonly links = new Map<string, PeerLink>();
  private closed = false;

  send(address: Address, envelope: PeerEnvelope): void {
    const peer = this.peerAt(address);
    if (peer.link === undefined && performance.now() >= peer.retryAtMs && !this.closed) {
      peer.link = this.open(address, peer);
    }
    peer.link?.send(envelope);
  }

  close(): void {
    this.closed = true;
    for (const { link } of this.links.values()) {
      link?.close();
    }
  }

  private peerAt(address: Address): PeerLink {
    const key = formatAddress(address);
    const known = this.links.get(key);
    if (known !== undefined) {
      return known;
    }
    const peer: PeerLink = {
      link: undefined,
      retryDelayMs: FIRST_RETRY_DELAY_MS,
      retryAtMs: 0,
    };
    this.links.set(key, peer);
    return peer;
  }

  private open(address: Address, peer: PeerLink): MessageLink {
    const openedAtMs = performance.now();
    return connectLink(address, {
      onMessage: () => false,
      onClose: () => {
        const lasted = performance.now() - openedAtMs > MAX_RETRY_DELAY_MS;
        peer.link = undefined;
        peer.retryDelayMs = lasted
          ? FIRST_RETRY_DELAY_MS
          : Math.min(MAX_RETRY_DELAY_MS, peer.retryDelayMs * 2);
        peer.retryAtMs = performance.now() + peer.retryDelayMs;
      },
    });
  }
}
