/**
 * @file Maintains the link of a balancer to the control machine that feeds it: opens and closes it as
 * `decisions/feed-source.ts` decides, applies messages by `ingress/feed-step.ts`, acknowledges them and reports loads.
 * Relies on links that close themselves when the peer is silent. With the switch `recovery=fast`, `feed-search.ts` opens the
 * links until the first current feed.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { NO_VERSION } from '../declared/config-update.js';
import { unpackFeed } from '../group/wire/feed-codec.js';
import type { BalancerLinkMessage, ControlInfo, FeedMessage } from '../group/group-messages.js';
import { applyFeedMessage } from '../ingress/feed-step.js';
import { createLoadReporter, type LoadReporter } from '../ingress/load-reporter.js';
import { FEED_RETRY_DELAY_MS, FeedSource } from '../decisions/feed-source.js';
import { ATTEMPT_DELAY_MS, type FirstMessage } from '../decisions/first-feed.js';
import { isReady, type IngressState } from '../ingress/ingress-state.js';
import { hashText } from '../../shared/common/rendezvous.js';
import type { DecisionFields } from './decision-log.js';
import { createSingleFeedLink, type FeedLinks, type OwnedLink } from './feed-links.js';
import { createFeedSearch } from './feed-search.js';
import type { RequestLog } from './request-log.js';

/** Link to the control machine that feeds this balancer. */
export interface ControlLink {
  /** @returns the size of the message in bytes; 0 if it was not sent */
  send(message: BalancerLinkMessage): number;
  close(): void;
}

/** Callbacks of a control link. */
export interface ControlLinkHandlers {
  /** @returns false for an unexpected message; the link is then closed */
  onMessage(message: unknown, link: ControlLink): boolean;
  /** Called when part of a message has arrived. */
  onProgress(link: ControlLink): void;
  onClose(link: ControlLink, reason: string): void;
}

/** Options and dependencies of a feed follower. */
export interface FeedFollowerOptions {
  /** Updated by the feed. */
  readonly state: IngressState;
  /** UDP address of this balancer for other balancers. */
  readonly peerAddress: Address;
  /** Link addresses of control machines. */
  readonly controlSeeds: readonly Address[];
  readonly nowMs: () => number;
  after(delayMs: number, run: () => void): void;
  connectControl(to: Address, handlers: ControlLinkHandlers): ControlLink;
  /** Charges sent bytes to the rate limit of the machine's link. */
  charge(bytes: number): void;
  /** Logs a decision that changed the state of this balancer. */
  readonly logDecision: (name: string, fields: DecisionFields) => void;
  /** Rate-limited log. */
  readonly packetLog: RequestLog;
  /** Called with each message that has been applied. */
  readonly onApplied: (message: FeedMessage) => void;
}

/** Keeps a balancer connected to a control machine. */
export interface FeedFollower {
  /** Opens or closes the link if due, and reports loads. */
  tick(nowMs: number): void;
  /** Replaces the seeds. */
  updateSeeds(seeds: readonly Address[]): void;
  /** Replaces the known control machines. */
  applyControls(controls: readonly ControlInfo[]): void;
}

/** An open link and its state. */
interface FeedLink extends OwnedLink {
  readonly link: ControlLink;
  readonly reporter: LoadReporter;
  /** Number of acknowledged messages. */
  acknowledged: number;
}

/** @returns a follower without a link; `tick` opens it */
export function createFeedFollower(options: FeedFollowerOptions): FeedFollower {
  const { state, packetLog } = options;
  const { name, zone, feed, switches } = state.options;
  const spread = hashText(name);
  const source = new FeedSource({ seeds: options.controlSeeds, zone, spread }, feed);
  const linkOptions = { connect, onLeft: (why: string) => packetLog.log('feed left', { why }) };
  const single = createSingleFeedLink<FeedLink>(source, linkOptions);
  const controls = () => source.controls;
  const search = createFeedSearch<FeedLink>({ ...linkOptions, controls, spread, timing: feed });
  let links: FeedLinks<FeedLink> = switches.recovery === 'fast' ? search : single;
  /** True after an update whose base version is not held here: the next link requests the whole configuration. */
  let needsFullConfig = false;

  return {
    tick,
    updateSeeds: (seeds) => source.setSeeds(seeds),
    applyControls: (controls) => source.applyControls(controls),
  };

  function tick(nowMs: number): void {
    links.update(nowMs);
    if (links === search) {
      options.after(ATTEMPT_DELAY_MS, () => links.update(options.nowMs()));
    }
    reportLoads(nowMs);
  }

  function connect(to: Address): FeedLink {
    const link = options.connectControl(to, {
      onMessage: (message) => onMessage(message, feedLink),
      onProgress: () => links.recordProgress(feedLink, options.nowMs()),
      onClose: (_, reason) => onClose(feedLink, reason),
    });
    const feedLink = createFeedLink(link, to, state);
    options.charge(link.send(subscription(state, options.peerAddress, needsFullConfig)));
    needsFullConfig = false;
    return feedLink;
  }

  function onMessage(value: unknown, from: FeedLink): boolean {
    const message = unpackFeed(value, ({ kind, entry, reason }) =>
      packetLog.log('feed entry omitted', { kind, entry, reason }),
    );
    if (message === undefined) {
      return false;
    }
    const nowMs = options.nowMs();
    if (!links.accept(from, firstMessageOf(message, state), nowMs)) {
      // A search closes the links that it doesn't need by itself.
      return links === search;
    }
    endSearchIfOver(from, nowMs);
    if (message.controls !== undefined) {
      source.applyControls(message.controls);
    }
    const isFit = applyAndLog(options, message, nowMs);
    needsFullConfig ||= !isFit;
    acknowledge(options, from, message);
    options.onApplied(message);
    return isFit;
  }

  function endSearchIfOver(followed: FeedLink, nowMs: number): void {
    if (links === search && search.isOver) {
      single.takeOver(followed, nowMs);
      links = single;
    }
  }

  function onClose(closed: FeedLink, reason: string): void {
    const nowMs = options.nowMs();
    const hadFeed = links.recordClosed(closed, nowMs);
    if (hadFeed !== undefined) {
      logClosed(options, hadFeed, closed.to, reason);
      options.after(FEED_RETRY_DELAY_MS, () => links.update(options.nowMs()));
    }
  }

  /** Sends a load report if one is due. */
  function reportLoads(nowMs: number): void {
    const { followed } = links;
    const report = followed?.reporter.due(nowMs);
    if (followed !== undefined && report !== undefined) {
      options.charge(followed.link.send(report));
    }
  }
}

function createFeedLink(link: ControlLink, to: Address, state: IngressState): FeedLink {
  const reporter = createLoadReporter(state);
  return { link, to, reporter, acknowledged: 0, close: () => link.close() };
}

/** A control machine sends no configuration that is held here; otherwise a complete state without one has none. */
function firstMessageOf(
  { isCurrent, isComplete, records, config }: FeedMessage,
  { routes }: IngressState,
): FirstMessage {
  const isOmitted = !isComplete || routes.config !== undefined;
  return { isCurrent, hasState: config !== undefined || (records !== undefined && isOmitted) };
}

function acknowledge(
  { charge }: Pick<FeedFollowerOptions, 'charge'>,
  feedLink: FeedLink,
  { isCounted }: FeedMessage,
): void {
  if (isCounted) {
    feedLink.acknowledged += 1;
    charge(feedLink.link.send({ type: 'feed-taken', count: feedLink.acknowledged }));
  }
}

/** @returns time since a control machine last reported that its feed is current, in milliseconds; undefined before that */
export function feedAgeMs({ feedStatus }: IngressState, nowMs: number): number | undefined {
  const { lastCurrentAtMs } = feedStatus;
  return lastCurrentAtMs === undefined ? undefined : Math.round(nowMs - lastCurrentAtMs);
}

/** @returns the first message of a link */
function subscription(
  state: IngressState,
  peerAddress: Address,
  needsFullConfig: boolean,
): BalancerLinkMessage {
  const { name, zone } = state.options;
  const { unfinished } = state.configAssembly;
  const heldVersion = state.routes.config?.version ?? NO_VERSION;
  return {
    type: 'subscribe',
    balancer: { name, zone, peerAddress },
    configVersion: needsFullConfig ? NO_VERSION : heldVersion,
    ...(unfinished && { unfinished }),
  };
}

/** @returns false if the update does not apply to the configuration held here */
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

/** Failed connection attempts are frequent, so their lines are rate-limited. */
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
