/**
 * @file Decides whether a balancer follows the feed of another balancer, and of which one. It searches for one once its control
 * machines have left it without a current feed, asks those of its own zone first, and leaves when a control machine is
 * current again, or when the peer is silent or no longer current itself.
 */
import type { BalancerInfo } from '../group/group-messages.js';
import type { FeedTiming } from '../group/timing.js';
import { createPeerChoice } from './peer-choice.js';

/** Why a peer feed ends; the field `why` of the line `peer feed ends`. */
export type PeerFeedEnd =
  /** A control machine feeds this balancer again. */
  | 'control-current'
  /** No first message arrived in time. */
  | 'no-feed'
  /** Messages have stopped. */
  | 'silent'
  /** What the peer knows is too old. */
  | 'not-fresh'
  /** The peer takes no further subscriber, or has ended the feed. */
  | 'refused'
  /** The peer can't be reached, or has closed the link. */
  | 'link-closed'
  /** This process was paused, so that the times of what has waited are unknown. */
  | 'paused';

/** The next action for the owner of the link. */
export type PeerFeedAction =
  | { readonly type: 'connect'; readonly peer: BalancerInfo }
  | { readonly type: 'close'; readonly why: PeerFeedEnd }
  /** Ask the same peer for everything once more, on the same link. */
  | { readonly type: 'ask-again' }
  | { readonly type: 'wait' };

/** What the decision depends on, apart from the link. */
export interface PeerFeedSituation {
  /** When a control machine last was current; undefined for never. */
  readonly lastCurrentAtMs: number | undefined;
  /** The other balancers; called only while this balancer searches for a peer. */
  readonly peers: () => readonly BalancerInfo[];
}

/** Chooses the balancer whose feed is followed; at most one at a time. */
export interface PeerFeedSource {
  /** Called with each tick, and after each retry delay. */
  nextAction(situation: PeerFeedSituation, nowMs: number): PeerFeedAction;
  /**
   * Records a message of the peer.
   * @param asOfMs time at which the peer was last current, in milliseconds on the clock of this balancer
   */
  recordMessage(asOfMs: number, nowMs: number): void;
  /** Records that part of a message has arrived. */
  recordProgress(nowMs: number): void;
  /** Records that the peer refuses; the owner closes the link. */
  recordRefusal(): void;
  /** Records that part of what the peer said was left out. */
  recordDropped(): void;
  /** Records that this process was paused; the owner closes the link. */
  recordPause(): void;
  /** Records that the link is closed. */
  recordClosed(nowMs: number): ClosedPeerFeed;
}

/** A peer feed that has ended. */
export interface ClosedPeerFeed {
  readonly why: PeerFeedEnd;
  /** True if a message had arrived. */
  readonly hadFeed: boolean;
  /** Delay before the next attempt, in milliseconds. */
  readonly retryDelayMs: number;
}

interface PeerFeedSourceOptions {
  readonly zone: string;
  /** An integer hash of this balancer: spreads balancers over peers, and their first attempts and returns over time. */
  readonly spread: number;
}

interface PeerFeedLink {
  readonly peer: BalancerInfo;
  readonly startedAtMs: number;
  askedAtMs: number;
  /** True if part of what the peer said since then was left out. */
  hasDropped: boolean;
  progressAtMs: number;
  receivedAtMs: number | undefined;
  /** Time at which the peer was last current. */
  asOfMs: number | undefined;
  /** Undefined while the link is in use. */
  endsBecause: PeerFeedEnd | undefined;
}

/** Spreads the first attempts of balancers that lose their feed together. */
const LOOK_JITTER_MS = 200;
/** A control machine must stay current for this time before the peer is left; prevents flapping. */
const MIN_CONTROL_STAY_MS = 500;
/** Added to that time by `spread`. */
const RETURN_JITTER_MS = 1_500;
/** Time between two requests for everything on one link; longer than the peer requires. */
const ASK_AGAIN_AFTER_MS = 2_000;

/** @returns a source without a link */
export function createPeerFeedSource(
  { zone, spread }: PeerFeedSourceOptions,
  timing: FeedTiming,
): PeerFeedSource {
  const choice = createPeerChoice({ zone, spread });
  let link: PeerFeedLink | undefined;
  const control = createControlStay(spread, timing);

  return {
    nextAction,
    recordMessage,
    recordProgress,
    recordDropped,
    recordRefusal: () => endBecause('refused'),
    recordPause: () => endBecause('paused'),
    recordClosed,
  };

  function nextAction(situation: PeerFeedSituation, nowMs: number): PeerFeedAction {
    control.track(situation, nowMs);
    return link === undefined ? lookForPeer(situation, nowMs) : checkLink(link, nowMs);
  }

  function lookForPeer(
    { lastCurrentAtMs, peers }: PeerFeedSituation,
    nowMs: number,
  ): PeerFeedAction {
    const lookAtMs = (lastCurrentAtMs ?? nowMs) + timing.freshMs + (spread % LOOK_JITTER_MS);
    const isDue = !control.isCurrent && nowMs >= lookAtMs;
    const peer = isDue ? choice.choose(peers(), nowMs) : undefined;
    if (peer === undefined) {
      return { type: 'wait' };
    }
    link = createLink(peer, nowMs);
    return { type: 'connect', peer };
  }

  function checkLink(current: PeerFeedLink, nowMs: number): PeerFeedAction {
    current.endsBecause ??= control.isBack(nowMs)
      ? 'control-current'
      : failureOf(current, timing, nowMs);
    if (current.endsBecause !== undefined) {
      return { type: 'close', why: current.endsBecause };
    }
    const isDue = !control.isCurrent && nowMs - current.askedAtMs >= ASK_AGAIN_AFTER_MS;
    if (!current.hasDropped || !isDue) {
      return { type: 'wait' };
    }
    current.askedAtMs = nowMs;
    current.hasDropped = false;
    return { type: 'ask-again' };
  }

  function recordMessage(asOfMs: number, nowMs: number): void {
    if (link !== undefined) {
      link.receivedAtMs = nowMs;
      link.asOfMs = asOfMs;
      choice.recordFeed(link.peer.name);
    }
  }

  function recordProgress(nowMs: number): void {
    if (link !== undefined) {
      link.progressAtMs = nowMs;
    }
  }

  function endBecause(why: PeerFeedEnd): void {
    if (link !== undefined) {
      link.endsBecause ??= why;
    }
  }

  function recordDropped(): void {
    if (link !== undefined) {
      link.hasDropped = true;
    }
  }

  function recordClosed(nowMs: number): ClosedPeerFeed {
    const why = link?.endsBecause ?? 'link-closed';
    const hadFeed = link?.receivedAtMs !== undefined;
    const retryDelayMs = choice.recordClosed(link?.peer.name ?? '', outcomeOf(why), nowMs);
    link = undefined;
    return { why, hadFeed, retryDelayMs };
  }
}

function createLink(peer: BalancerInfo, nowMs: number): PeerFeedLink {
  return {
    peer,
    startedAtMs: nowMs,
    askedAtMs: nowMs,
    hasDropped: false,
    progressAtMs: nowMs,
    receivedAtMs: undefined,
    asOfMs: undefined,
    endsBecause: undefined,
  };
}

/** Tracks whether a control machine has been current for long enough to leave the peer. */
function createControlStay(spread: number, { freshMs }: FeedTiming) {
  const stayMs = MIN_CONTROL_STAY_MS + (spread % RETURN_JITTER_MS);
  let currentSinceMs: number | undefined;

  return {
    get isCurrent() {
      return currentSinceMs !== undefined;
    },
    track: ({ lastCurrentAtMs }: PeerFeedSituation, nowMs: number): void => {
      const isCurrent = lastCurrentAtMs !== undefined && nowMs - lastCurrentAtMs <= freshMs;
      currentSinceMs = isCurrent ? (currentSinceMs ?? nowMs) : undefined;
    },
    isBack: (nowMs: number): boolean =>
      currentSinceMs !== undefined && nowMs - currentSinceMs >= stayMs,
  };
}

function outcomeOf(why: PeerFeedEnd): 'done' | 'refused' | 'failed' {
  switch (why) {
    case 'control-current':
    case 'paused':
      return 'done';
    case 'refused':
    case 'not-fresh':
      return 'refused';
    case 'no-feed':
    case 'silent':
    case 'link-closed':
      return 'failed';
  }
}

/** @returns why a peer is left; undefined while its feed is of use */
function failureOf(
  { startedAtMs, progressAtMs, receivedAtMs, asOfMs }: PeerFeedLink,
  timing: FeedTiming,
  nowMs: number,
): PeerFeedEnd | undefined {
  if (receivedAtMs === undefined || asOfMs === undefined) {
    const isLate = nowMs - Math.max(startedAtMs, progressAtMs) > timing.firstMessageAfterMs;
    return isLate ? 'no-feed' : undefined;
  }
  if (nowMs - Math.max(receivedAtMs, progressAtMs) > timing.silentAfterMs) {
    return 'silent';
  }
  return nowMs - asOfMs > timing.freshMs + timing.silentAfterMs ? 'not-fresh' : undefined;
}
