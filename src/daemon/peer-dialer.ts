/**
 * @file Sends messages to processes by their addresses: one link to each, opened when there is something
 * to send. What can't be sent is dropped; the protocols above send again.
 */
import { formatAddress, type Address } from '../common/address.js';
import type { FrameLink, FrameLinks } from './frame-links.js';

/** A link that could not be opened is tried again after this time, in milliseconds. */
const RETRY_AFTER_MS = 50;

/** Links to other processes. */
export class PeerDialer {
  private readonly open = new Map<string, FrameLink>();
  private readonly retryAtMs = new Map<string, number>();

  constructor(private readonly links: FrameLinks) {}

  /** Sends a message, or drops it where the link failed a moment ago. */
  send(to: Address, message: object): void {
    this.linkTo(to)?.send(message);
  }

  private linkTo(to: Address): FrameLink | undefined {
    const name = formatAddress(to);
    const known = this.open.get(name);
    if (known !== undefined) {
      return known;
    }
    if (performance.now() < (this.retryAtMs.get(name) ?? 0)) {
      return undefined;
    }
    const link = this.links.connect(to, {
      // Nothing but pulses comes back on a link that was dialed.
      onMessage: () => false,
      onClose: (closed) => {
        if (this.open.get(name) === closed) {
          this.open.delete(name);
          this.retryAtMs.set(name, performance.now() + RETRY_AFTER_MS);
        }
      },
    });
    this.open.set(name, link);
    return link;
  }
}
