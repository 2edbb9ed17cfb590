/**
 * @file Links that carry no feed: they have not subscribed yet, or were refused. They are closed after a time, so that they
 * do not shut others out.
 */
import type { PeerLink } from '../../ingress/peer-feed/peer-feed-messages.js';

/** Links without a feed, and since when. */
export interface IdleLinks {
  /** Adds a link, unless it is there. */
  add(link: PeerLink, nowMs: number): void;
  remove(link: PeerLink): void;
  /** Closes the links whose time is over. */
  closeOverdue(nowMs: number): void;
}

/** @param maxIdleMs time for which a link may be without a feed, in milliseconds */
export function createIdleLinks(maxIdleMs: number): IdleLinks {
  const sinceMs = new Map<PeerLink, number>();

  return {
    add: (link, nowMs) => void sinceMs.set(link, sinceMs.get(link) ?? nowMs),
    remove: (link) => void sinceMs.delete(link),
    closeOverdue,
  };

  function closeOverdue(nowMs: number): void {
    for (const [link, addedAtMs] of sinceMs) {
      if (nowMs - addedAtMs > maxIdleMs) {
        sinceMs.delete(link);
        link.close();
      }
    }
  }
}
