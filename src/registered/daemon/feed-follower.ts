/**
 * @file The link of a balancer to the control machine that feeds it: opened where the source says, answered,
 * told what passes the balancer, and given up. What a message means is decided in `src/registered/ingress`.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { NO_VERSION } from '../declared/config-update.js';
import { unpackFeed } from '../group/feed-codec.js';
import type { BalancerLinkMessage, FeedMessage } from '../group/group-messages.js';
import { applyFeedMessage } from '../ingress/feed-step.js';
import { createLoadReporter, type LoadReporter } from '../ingress/load-reporter.js';
import { FEED_RETRY_AFTER_MS, FeedSource } from '../decisions/feed-source.js';
import { isReady, type IngressState } from '../ingress/ingress-state.js';
import { hashText } from '../../shared/common/rendezvous.js';
import type { DecisionFields } from './decision-log.js';
import type { RequestLog } from './request-log.js';

/** A link to the control machine that feeds this balancer. */
export interface ControlLink {
  /** @returns how many bytes the link takes for it */
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
  /** Takes the line of a decision that changed what this balancer believes. */
  readonly logDecision: (name: string, fields: DecisionFields) => void;
  /** Takes lines that may be many. */
  readonly packetLog: RequestLog;
}

/** Keeps a balancer fed. */
export interface FeedFollower {
  /** Does what is due: opens or gives up the link, tells loads. */
  tick(nowMs: number): void;
  /** Takes other control machines to look for. */
  updateSeeds(seeds: readonly Address[]): void;
  /** @returns how long ago a control machine said that what it told is current, in milliseconds */
  feedAgeMs(): number | undefined;
}

/** A link with what was counted on it. */
interface FollowedLink {
  readonly link: ControlLink;
  readonly to: Address;
  readonly reporter: LoadReporter;
  /** Messages that were answered. */
  countedTaken: number;
}

/** @returns a follower without any link */
export function createFeedFollower(options: FeedFollowerOptions): FeedFollower {
  const { state, peerAddress, packetLog } = options;
  const { name, zone, feed } = state.options;
  const seeker = { seeds: options.controlSeeds, zone, spread: hashText(name) };
  const source = new FeedSource(seeker, feed);
  let followed: FollowedLink | undefined;
  /** True where an update did not fit what is held: the next link begins with the whole. */
  let isConfigDoubted = false;

  return {
    tick,
    updateSeeds: (seeds) => source.setSeeds(seeds),
    feedAgeMs: () => feedAgeMs(state, options.nowMs()),
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
    followed = { link, to, reporter: createLoadReporter(state), countedTaken: 0 };
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
    const isFit = take(message, nowMs);
    if (message.isCounted) {
      followed.countedTaken += 1;
      options.charge(from.send({ type: 'feed-taken', count: followed.countedTaken }));
    }
    return isFit;
  }

  /** @returns false where the control machine must begin anew, on a new link */
  function take(message: FeedMessage, nowMs: number): boolean {
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
    options.after(FEED_RETRY_AFTER_MS, () => follow(options.nowMs()));
  }

  /** Tells the control machine what passes here. */
  function reportLoads(nowMs: number): void {
    const report = followed?.reporter.due(nowMs);
    if (followed !== undefined && report !== undefined) {
      options.charge(followed.link.send(report));
    }
  }
}

function feedAgeMs({ feedStatus }: IngressState, nowMs: number): number | undefined {
  const { currentAtMs } = feedStatus;
  return currentAtMs === undefined ? undefined : Math.round(nowMs - currentAtMs);
}

/** The first message of a link. */
function subscription(
  state: IngressState,
  peerAddress: Address,
  isConfigDoubted: boolean,
): BalancerLinkMessage {
  const { name, zone } = state.options;
  const { unfinished } = state.assembly;
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
  const taken = applyFeedMessage(state, message, nowMs);
  if (taken.type === 'in-force') {
    logDecision('config in force', { version: taken.version });
  }
  if (isReady(state) !== wasReady) {
    logDecision('ready', { backends: state.backends.size });
  }
  if (taken.type === 'unfit') {
    const { version, baseVersion } = message.config ?? {};
    logDecision('config unfit', { version, baseVersion });
  }
  return taken.type !== 'unfit';
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
