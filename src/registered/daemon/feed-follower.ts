/**
 * @file The link of a balancer to the control machine that feeds it. Which control machine that is, and when it is given up
 * or tried again, is decided by `decisions/feed-source.ts`; what a message changes by `ingress/feed-step.ts`. This module
 * carries both out: it opens and closes the link, acknowledges messages, reports loads, and logs what changed.
 *
 * Owns the link and what was counted on it. Relies on frame links that close by themselves when the other end is silent.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { NO_VERSION } from '../declared/config-update.js';
import { unpackFeed } from '../group/wire/feed-codec.js';
import type { BalancerLinkMessage, FeedMessage } from '../group/group-messages.js';
import { applyFeedMessage } from '../ingress/feed-step.js';
import { createLoadReporter, type LoadReporter } from '../ingress/load-reporter.js';
import { FEED_RETRY_DELAY_MS, FeedSource } from '../decisions/feed-source.js';
import { isReady, type IngressState } from '../ingress/ingress-state.js';
import { hashText } from '../../shared/common/rendezvous.js';
import type { DecisionFields } from './decision-log.js';
import type { RequestLog } from './request-log.js';

/** A link to the control machine that feeds this balancer. */
export interface ControlLink {
  /** @returns the size of the message in bytes; 0 where it was not sent */
  send(message: BalancerLinkMessage): number;
  close(): void;
}

/** What happens on such a link. */
export interface ControlLinkHandlers {
  /** @returns false where the message does not belong there; the link is closed then */
  onMessage(message: unknown, link: ControlLink): boolean;
  /** Some of a message has come, and more is to come. */
  onProgress(link: ControlLink): void;
  onClose(link: ControlLink, reason: string): void;
}

/** What the follower needs. */
export interface FeedFollowerOptions {
  /** What the feed changes. */
  readonly state: IngressState;
  /** UDP address at which other balancers reach this one. */
  readonly peerAddress: Address;
  /** Link addresses of control machines. */
  readonly controlSeeds: readonly Address[];
  readonly nowMs: () => number;
  after(delayMs: number, run: () => void): void;
  connectControl(to: Address, handlers: ControlLinkHandlers): ControlLink;
  /** Counts bytes that went over the machine's link. */
  charge(bytes: number): void;
  /** Writes the line of a decision that changed what this balancer believes. */
  readonly logDecision: (name: string, fields: DecisionFields) => void;
  /** Writes lines that may be many. */
  readonly packetLog: RequestLog;
}

/** Keeps a balancer fed. */
export interface FeedFollower {
  /** Does what is due: opens or gives up the link, reports loads. */
  tick(nowMs: number): void;
  /** Replaces the control machines that are looked for first. */
  updateSeeds(seeds: readonly Address[]): void;
}

/** A link with what was counted on it. */
interface FollowedLink {
  readonly link: ControlLink;
  readonly to: Address;
  readonly reporter: LoadReporter;
  /** Messages that were acknowledged. */
  acknowledged: number;
}

/** @returns a follower without any link */
export function createFeedFollower(options: FeedFollowerOptions): FeedFollower {
  const { state, peerAddress, packetLog } = options;
  const { name, zone, feed } = state.options;
  const seeker = { seeds: options.controlSeeds, zone, spread: hashText(name) };
  const source = new FeedSource(seeker, feed);
  let followed: FollowedLink | undefined;
  /** True where an update did not fit what is held: the next link begins with a full sync. */
  let isConfigDoubted = false;

  return {
    tick,
    updateSeeds: (seeds) => source.setSeeds(seeds),
  };

  function tick(nowMs: number): void {
    follow(nowMs);
    reportLoads(nowMs);
  }

  function follow(nowMs: number): void {
    const action = source.nextAction(nowMs);
    if (action.type === 'close') {
      packetLog.log('feed left', { why: action.why });
      followed?.link.close();
    } else if (action.type === 'connect') {
      subscribe(action.address);
    }
  }

  function subscribe(to: Address): void {
    const link = options.connectControl(to, { onMessage, onProgress, onClose });
    followed = { link, to, reporter: createLoadReporter(state), acknowledged: 0 };
    options.charge(link.send(subscription(state, peerAddress, isConfigDoubted)));
    isConfigDoubted = false;
  }

  function onMessage(value: unknown, from: ControlLink): boolean {
    const message = unpackFeed(value);
    if (message === undefined || followed?.link !== from) {
      return false;
    }
    const nowMs = options.nowMs();
    source.recordMessage(message.isCurrent, nowMs);
    if (message.controls !== undefined) {
      source.applyControls(message.controls);
    }
    const isFit = applyMessage(message, nowMs);
    if (message.isCounted) {
      followed.acknowledged += 1;
      options.charge(from.send({ type: 'feed-taken', count: followed.acknowledged }));
    }
    return isFit;
  }

  /** @returns false where the control machine must begin anew, on a new link */
  function applyMessage(message: FeedMessage, nowMs: number): boolean {
    const isFit = applyAndLog(options, message, nowMs);
    if (!isFit) {
      isConfigDoubted = true;
    }
    return isFit;
  }

  function onProgress(from: ControlLink): void {
    if (followed?.link === from) {
      source.recordProgress(options.nowMs());
    }
  }

  function onClose(closed: ControlLink, reason: string): void {
    if (followed?.link !== closed) {
      return;
    }
    const { to } = followed;
    followed = undefined;
    logClosed(options, source.recordClosed(options.nowMs()), to, reason);
    options.after(FEED_RETRY_DELAY_MS, () => follow(options.nowMs()));
  }

  /** Reports to the control machine what passes here. */
  function reportLoads(nowMs: number): void {
    const report = followed?.reporter.due(nowMs);
    if (followed !== undefined && report !== undefined) {
      options.charge(followed.link.send(report));
    }
  }
}

/** @returns how long ago a control machine last said that its feed is current, in milliseconds; undefined for never */
export function feedAgeMs({ feedStatus }: IngressState, nowMs: number): number | undefined {
  const { lastCurrentAtMs } = feedStatus;
  return lastCurrentAtMs === undefined ? undefined : Math.round(nowMs - lastCurrentAtMs);
}

/** The first message of a link. */
function subscription(
  state: IngressState,
  peerAddress: Address,
  isConfigDoubted: boolean,
): BalancerLinkMessage {
  const { name, zone } = state.options;
  const { unfinished } = state.configAssembly;
  const heldVersion = state.routes.config?.version ?? NO_VERSION;
  return {
    type: 'subscribe',
    balancer: { name, zone, peerAddress },
    configVersion: isConfigDoubted ? NO_VERSION : heldVersion,
    ...(unfinished && { unfinished }),
  };
}

/** @returns false where the message does not follow what is held here */
function applyAndLog(
  { state, logDecision }: FeedFollowerOptions,
  message: FeedMessage,
  nowMs: number,
): boolean {
  const wasReady = isReady(state);
  const outcome = applyFeedMessage(state, message, nowMs);
  if (outcome.type === 'in-force') {
    logDecision('config in force', { version: outcome.version });
  }
  if (isReady(state) !== wasReady) {
    logDecision('ready', { backends: state.backends.size });
  }
  if (outcome.type === 'unfit') {
    const { version, baseVersion } = message.config ?? {};
    logDecision('config unfit', { version, baseVersion });
  }
  return outcome.type !== 'unfit';
}

/** Control machines that can't be reached are tried many times a second: those lines have a budget. */
function logClosed(
  { state, logDecision, packetLog, nowMs }: FeedFollowerOptions,
  hadFeed: boolean,
  to: Address,
  reason: string,
): void {
  const fields = { control: formatAddress(to), reason, feedAgeMs: feedAgeMs(state, nowMs()) };
  if (hadFeed) {
    logDecision('feed lost', fields);
  } else {
    packetLog.log('feed not reached', fields);
  }
}
