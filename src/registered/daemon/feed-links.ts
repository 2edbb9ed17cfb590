/**
 * @file Links of a balancer to control machines: what the follower of the feed needs of their owners, and the owner of the
 * single link that `decisions/feed-source.ts` decides on.
 */
import type { Address } from '../../shared/common/address.js';
import type { FeedSource } from '../decisions/feed-source.js';
import type { FirstMessage } from '../decisions/first-feed.js';

/** A link to a control machine, as far as its owner needs it. */
export interface OwnedLink {
  readonly to: Address;
  close(): void;
}

/** Opens and closes the links of a balancer to control machines. */
export interface FeedLinks<Link extends OwnedLink> {
  /** The link whose messages are applied. */
  readonly followed: Link | undefined;
  /** Opens and closes links as due. */
  update(nowMs: number): void;
  /** @returns true if the message must be applied */
  accept(link: Link, message: FirstMessage, nowMs: number): boolean;
  /** Records that part of a message has arrived. */
  recordProgress(link: Link, nowMs: number): void;
  /** @returns true if the feed is lost, not just unreachable; undefined if the link was not needed any more */
  recordClosed(link: Link, nowMs: number): boolean | undefined;
}

/** Dependencies of an owner of links. */
export interface FeedLinksOptions<Link extends OwnedLink> {
  /** Opens a link and subscribes. */
  connect(to: Address): Link;
  /** Called before a link is closed. */
  onLeft(why: string): void;
}

/** A single link, which may be taken over while it is open. */
export interface SingleFeedLink<Link extends OwnedLink> extends FeedLinks<Link> {
  takeOver(link: Link, nowMs: number): void;
}

/** @returns the owner of one link, not open yet */
export function createSingleFeedLink<Link extends OwnedLink>(
  source: FeedSource,
  options: FeedLinksOptions<Link>,
): SingleFeedLink<Link> {
  let followed: Link | undefined;

  return {
    get followed() {
      return followed;
    },
    update,
    accept,
    recordProgress,
    recordClosed,
    takeOver,
  };

  function update(nowMs: number): void {
    const action = source.nextAction(nowMs);
    if (action.type === 'close') {
      options.onLeft(action.why);
      followed?.close();
    } else if (action.type === 'connect') {
      followed = options.connect(action.address);
    }
  }

  function accept(link: Link, { isCurrent }: FirstMessage, nowMs: number): boolean {
    if (link !== followed) {
      return false;
    }
    source.recordMessage(isCurrent, nowMs);
    return true;
  }

  function recordProgress(link: Link, nowMs: number): void {
    if (link === followed) {
      source.recordProgress(nowMs);
    }
  }

  function recordClosed(link: Link, nowMs: number): boolean | undefined {
    if (link !== followed) {
      return undefined;
    }
    followed = undefined;
    return source.recordClosed(nowMs);
  }

  function takeOver(link: Link, nowMs: number): void {
    followed = link;
    source.takeOver(link.to, nowMs);
  }
}
