/**
 * @file Finds the first feed of a balancer that has started: tries a few control machines at a time, follows the first one
 * that answers, and replaces it by one that is current or, unlike it, has state. It ends with the first message of a
 * control machine that is current and has state; afterwards `feed-source.ts` decides.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { FeedTiming } from '../group/timing.js';

/** Delay between two attempts while no control machine has answered. */
export const ATTEMPT_DELAY_MS = 50;
/** Attempts whose first message is awaited at the same time. */
const MAX_ATTEMPTS = 3;
/** Longest delay between two attempts while a control machine that is not current is followed. */
const MAX_PROBE_DELAY_MS = 1_600;

/** Why a link is closed: no first message arrived in time, or messages have stopped. */
type FirstFeedCloseReason = 'no-feed' | 'silent';

/** The next action for the owner of the links. */
export type FirstFeedAction =
  | { readonly type: 'connect'; readonly address: Address }
  | { readonly type: 'close'; readonly address: Address; readonly why: FirstFeedCloseReason };

/** State of a control machine, by its first message. */
export interface FirstMessage {
  readonly isCurrent: boolean;
  /** False if the control machine has no configuration, for example after the loss of its disk. */
  readonly hasState: boolean;
}

/** The search of one balancer for its first feed. */
export interface FirstFeed {
  /** True once a message of a current control machine that has state has arrived. */
  readonly isOver: boolean;
  /** Called with each tick and `ATTEMPT_DELAY_MS` after it. */
  nextActions(nowMs: number): FirstFeedAction[];
  /** @returns true if the messages of this link must be applied from this one on, in place of those of any other link */
  recordFirstMessage(address: Address, message: FirstMessage, nowMs: number): boolean;
  /** Records a further message of the followed link. */
  recordMessage(message: FirstMessage, nowMs: number): void;
  /** Records that part of a message has arrived. */
  recordProgress(address: Address, nowMs: number): void;
  recordClosed(address: Address): void;
}

interface Link {
  readonly address: Address;
  /** Last time at which anything arrived, or the start of the attempt. */
  activeAtMs: number;
  /** True once this balancer has decided to close the link. */
  isClosing: boolean;
}

interface FollowedLink extends Link {
  hasState: boolean;
}

interface Search {
  readonly controls: () => readonly Address[];
  readonly timing: FeedTiming;
  readonly attempts: Map<string, Link>;
  followed: FollowedLink | undefined;
  nextIndex: number;
  nextAttemptAtMs: number;
  probeDelayMs: number;
  isOver: boolean;
}

/**
 * @param controls returns the link addresses of the known control machines
 * @param spread an integer hash of this balancer: spreads balancers over control machines
 */
export function createFirstFeed(
  controls: () => readonly Address[],
  spread: number,
  timing: FeedTiming,
): FirstFeed {
  const search: Search = {
    controls,
    timing,
    attempts: new Map(),
    followed: undefined,
    nextIndex: spread,
    nextAttemptAtMs: Number.NEGATIVE_INFINITY,
    probeDelayMs: timing.staleAfterMs,
    isOver: false,
  };
  return {
    get isOver() {
      return search.isOver;
    },
    nextActions: (nowMs) => [...closeFailed(search, nowMs), ...attemptIfDue(search, nowMs)],
    recordFirstMessage: (address, message, nowMs) =>
      followIfBetter(search, address, message, nowMs),
    recordMessage: ({ isCurrent, hasState }, nowMs) => {
      const { followed } = search;
      if (followed !== undefined) {
        followed.activeAtMs = nowMs;
        followed.hasState ||= hasState;
        search.isOver ||= isCurrent && followed.hasState;
      }
    },
    recordProgress: (address, nowMs) => {
      const link = findLink(search, address);
      if (link !== undefined) {
        link.activeAtMs = nowMs;
      }
    },
    recordClosed: (address) => removeLink(search, address),
  };
}

function closeFailed({ attempts, followed, timing }: Search, nowMs: number): FirstFeedAction[] {
  const { firstMessageAfterMs, silentAfterMs } = timing;
  const actions = [...attempts.values()].flatMap((attempt) =>
    closeIfIdle(attempt, firstMessageAfterMs, 'no-feed', nowMs),
  );
  return followed === undefined
    ? actions
    : [...actions, ...closeIfIdle(followed, silentAfterMs, 'silent', nowMs)];
}

function closeIfIdle(
  link: Link,
  maxIdleMs: number,
  why: FirstFeedCloseReason,
  nowMs: number,
): FirstFeedAction[] {
  if (link.isClosing || nowMs - link.activeAtMs <= maxIdleMs) {
    return [];
  }
  link.isClosing = true;
  return [{ type: 'close', address: link.address, why }];
}

function attemptIfDue(search: Search, nowMs: number): FirstFeedAction[] {
  const { attempts, isOver, nextAttemptAtMs } = search;
  const isDue = !isOver && nowMs >= nextAttemptAtMs && attempts.size < MAX_ATTEMPTS;
  const address = isDue ? nextControl(search) : undefined;
  if (address === undefined) {
    return [];
  }
  attempts.set(formatAddress(address), { address, activeAtMs: nowMs, isClosing: false });
  search.nextAttemptAtMs = nowMs + nextDelayMs(search);
  return [{ type: 'connect', address }];
}

/** Each attempt may bring a part of a full sync, so attempts become rarer while a control machine is followed. */
function nextDelayMs(search: Search): number {
  if (search.followed === undefined) {
    return ATTEMPT_DELAY_MS;
  }
  const delayMs = search.probeDelayMs;
  search.probeDelayMs = Math.min(MAX_PROBE_DELAY_MS, 2 * delayMs);
  return delayMs;
}

/** @returns the next control machine in turn that has no link */
function nextControl(search: Search): Address | undefined {
  const known = search.controls();
  const turns = known.map((_, turn) => known[(search.nextIndex + turn) % known.length]);
  const turn = turns.findIndex(
    (address) => address !== undefined && findLink(search, address) === undefined,
  );
  search.nextIndex += turn + 1;
  return turns[turn];
}

function findLink({ attempts, followed }: Search, address: Address): Link | undefined {
  const key = formatAddress(address);
  const isFollowed = followed !== undefined && formatAddress(followed.address) === key;
  return isFollowed ? followed : attempts.get(key);
}

function followIfBetter(
  search: Search,
  address: Address,
  { isCurrent, hasState }: FirstMessage,
  nowMs: number,
): boolean {
  const { followed } = search;
  const isBetter = followed === undefined || (hasState && (isCurrent || !followed.hasState));
  search.attempts.delete(formatAddress(address));
  if (search.isOver || !isBetter) {
    return false;
  }
  search.followed = { address, hasState, activeAtMs: nowMs, isClosing: false };
  search.nextAttemptAtMs = nowMs + (hasState ? search.timing.staleAfterMs : 0);
  search.probeDelayMs = hasState ? search.timing.staleAfterMs : ATTEMPT_DELAY_MS;
  search.isOver = isCurrent && hasState;
  return true;
}

function removeLink(search: Search, address: Address): void {
  const link = findLink(search, address);
  if (link !== undefined && link === search.followed) {
    search.followed = undefined;
    search.nextAttemptAtMs = Number.NEGATIVE_INFINITY;
    search.probeDelayMs = search.timing.staleAfterMs;
  } else {
    search.attempts.delete(formatAddress(address));
  }
}
