/**
 * @file Opens and closes the links of a balancer that searches for its first feed, as `decisions/first-feed.ts` decides.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import {
  createFirstFeed,
  type FirstFeedAction,
  type FirstMessage,
} from '../decisions/first-feed.js';
import type { FeedTiming } from '../group/timing.js';
import type { FeedLinks, FeedLinksOptions, OwnedLink } from './feed-links.js';

/** Options of a search. */
export interface FeedSearchOptions<Link extends OwnedLink> extends FeedLinksOptions<Link> {
  /** @returns the link addresses of the known control machines */
  readonly controls: () => readonly Address[];
  /** An integer hash of this balancer. */
  readonly spread: number;
  readonly timing: FeedTiming;
}

/** The search of one balancer for its first feed. */
export interface FeedSearch<Link extends OwnedLink> extends FeedLinks<Link> {
  /** True once the followed control machine is current. */
  readonly isOver: boolean;
}

/** @returns a search without links */
export function createFeedSearch<Link extends OwnedLink>(
  options: FeedSearchOptions<Link>,
): FeedSearch<Link> {
  const decisions = createFirstFeed(options.controls, options.spread, options.timing);
  /** Open links, including the followed one. */
  const links = new Set<Link>();
  let followed: Link | undefined;

  return {
    get isOver() {
      return decisions.isOver;
    },
    get followed() {
      return followed;
    },
    update: (nowMs) => decisions.nextActions(nowMs).forEach((action) => carryOut(action)),
    accept,
    recordProgress: ({ to }, nowMs) => decisions.recordProgress(to, nowMs),
    recordClosed,
  };

  function carryOut(action: FirstFeedAction): void {
    switch (action.type) {
      case 'connect':
        links.add(options.connect(action.address));
        return;
      case 'close':
        options.onLeft(action.why);
        linkTo(action.address)?.close();
        return;
    }
  }

  function linkTo(address: Address): Link | undefined {
    return [...links].find(({ to }) => formatAddress(to) === formatAddress(address));
  }

  function accept(link: Link, message: FirstMessage, nowMs: number): boolean {
    if (link === followed) {
      decisions.recordMessage(message, nowMs);
    } else if (links.has(link) && decisions.recordFirstMessage(link.to, message, nowMs)) {
      replaceFollowed(link);
    } else {
      drop(link);
      return false;
    }
    if (decisions.isOver) {
      [...links].filter((other) => other !== link).forEach((other) => drop(other));
    }
    return true;
  }

  function replaceFollowed(link: Link): void {
    const replaced = followed;
    followed = link;
    if (replaced !== undefined) {
      drop(replaced);
    }
  }

  function drop(link: Link): void {
    links.delete(link);
    link.close();
  }

  function recordClosed(link: Link): boolean | undefined {
    if (!links.delete(link)) {
      return undefined;
    }
    const isFeed = link === followed;
    decisions.recordClosed(link.to);
    followed = isFeed ? undefined : followed;
    return isFeed;
  }
}
