/**
 * @file Maintains the link of a balancer without a current control machine to the balancer whose feed it follows: opens and
 * closes it as `decisions/peer-feed-source.ts` decides, and applies messages by `ingress/peer-feed/apply-peer-feed.ts`.
 */
import { formatAddress, type Address } from '../../../shared/common/address.js';
import { hashText } from '../../../shared/common/rendezvous.js';
import { NO_VERSION } from '../../declared/config-update.js';
import { createPeerFeedSource, type ClosedPeerFeed } from '../../decisions/peer-feed-source.js';
import type { BalancerInfo, ControlInfo } from '../../group/group-messages.js';
import type { IngressState } from '../../ingress/ingress-state.js';
import {
  applyPeerFeed,
  createPeerProgress,
  type PeerFeedOutcome,
  type PeerProgress,
} from '../../ingress/peer-feed/apply-peer-feed.js';
import {
  MAX_PEER_FEED_HOPS,
  parsePeerGiverMessage,
  type PeerFeedMessage,
  type PeerLink,
  type PeerLinkHandlers,
} from '../../ingress/peer-feed/peer-feed-messages.js';
import type { DecisionFields } from '../decision-log.js';
import type { RequestLog } from '../request-log.js';

/** Options and dependencies of a follower. */
export interface PeerFeedFollowerOptions {
  /** Updated by the feed. */
  readonly state: IngressState;
  readonly nowMs: () => number;
  after(delayMs: number, run: () => void): void;
  connectBalancer(to: Address, handlers: PeerLinkHandlers): PeerLink;
  /** Records a turn of the process. @returns true after a pause in which messages may have waited */
  readonly isPaused: (nowMs: number) => boolean;
  /** Charges sent bytes to the rate limit of the machine's link. */
  charge(bytes: number): void;
  /** Takes over control machines that the peer names. */
  applyControls(controls: readonly ControlInfo[]): void;
  /** Logs a decision that changed the state of this balancer. */
  readonly logDecision: (name: string, fields: DecisionFields) => void;
  /** Rate-limited log. */
  readonly packetLog: RequestLog;
}

/** Keeps a balancer that is cut off from control connected to a peer. */
export interface PeerFeedFollower {
  /** Opens or closes the link if due. */
  tick(nowMs: number): void;
}

/** An open link and its state. */
interface OpenPeerFeed {
  readonly link: PeerLink;
  readonly peer: BalancerInfo;
  readonly progress: PeerProgress;
  hasBegun: boolean;
}

/** @returns a follower without a link; `tick` opens it */
export function createPeerFeedFollower(options: PeerFeedFollowerOptions): PeerFeedFollower {
  const { state } = options;
  const { name, zone, feed } = state.options;
  const source = createPeerFeedSource({ zone, spread: hashText(name) }, feed);
  let peerFeed: OpenPeerFeed | undefined;
  /** True after an update whose base version is not held here: the next link requests the whole configuration. */
  let needsFullConfig = false;

  return { tick };

  function tick(nowMs: number): void {
    if (options.isPaused(nowMs)) {
      leaveAfterPause();
      return;
    }
    const { lastCurrentAtMs } = state.feedStatus;
    const peers = () => state.peers.rotatedPeers(0, state.peers.size);
    const action = source.nextAction({ lastCurrentAtMs, peers }, nowMs);
    if (action.type === 'close') {
      peerFeed?.link.close();
    } else if (action.type === 'connect') {
      subscribe(action.peer);
    } else if (action.type === 'ask-again') {
      sendSubscribe(peerFeed?.link);
    }
  }

  /** What waited meanwhile has no known age. */
  function leaveAfterPause(): void {
    source.recordPause();
    peerFeed?.link.close();
  }

  function subscribe(peer: BalancerInfo): void {
    const link = options.connectBalancer(peer.peerAddress, { onMessage, onProgress, onClose });
    peerFeed = { link, peer, progress: createPeerProgress(), hasBegun: false };
    sendSubscribe(link);
  }

  function sendSubscribe(link: PeerLink | undefined): void {
    const heldVersion = state.routes.config?.version ?? NO_VERSION;
    const configVersion = needsFullConfig ? NO_VERSION : heldVersion;
    needsFullConfig = false;
    options.charge(link?.send({ type: 'peer-subscribe', name, configVersion }) ?? 0);
  }

  function onMessage(value: unknown, from: PeerLink): boolean {
    const message = parsePeerGiverMessage(value, ({ kind, entry, reason }) =>
      options.packetLog.log('feed entry omitted', { kind, entry, reason }),
    );
    if (message === undefined || peerFeed?.link !== from) {
      return false;
    }
    const nowMs = options.nowMs();
    if (options.isPaused(nowMs)) {
      leaveAfterPause();
      return true;
    }
    if (message.type === 'peer-refused' || message.hops > MAX_PEER_FEED_HOPS) {
      source.recordRefusal();
      from.close();
      return true;
    }
    source.recordMessage(nowMs - message.ageMs, nowMs);
    const { config, hasDropped } = applyAndLog(options, peerFeed, message, nowMs);
    if (hasDropped) {
      source.recordDropped();
    }
    needsFullConfig = config.type === 'unfit';
    return !needsFullConfig;
  }

  function onProgress(from: PeerLink): void {
    if (peerFeed?.link === from) {
      source.recordProgress(options.nowMs());
    }
  }

  function onClose(closed: PeerLink, reason: string): void {
    if (peerFeed?.link !== closed) {
      return;
    }
    const nowMs = options.nowMs();
    const end = source.recordClosed(nowMs);
    logEnd(options, peerFeed, end, reason);
    peerFeed = undefined;
    state.peerKnowledge.recordEnd();
    options.after(end.retryDelayMs, () => tick(options.nowMs()));
  }
}

function applyAndLog(
  options: PeerFeedFollowerOptions,
  current: OpenPeerFeed,
  message: PeerFeedMessage,
  nowMs: number,
): PeerFeedOutcome {
  logBegin(options, current, message);
  const outcome = applyPeerFeed(options.state, current.progress, message, nowMs);
  const controls = message.feed?.controls ?? [];
  if (outcome.isNewest && controls.length > 0) {
    options.applyControls(controls);
  }
  if (outcome.config.type === 'in-force') {
    const { version } = outcome.config;
    options.logDecision('config in force', { version, peer: current.peer.name });
  }
  return outcome;
}

/** Logs the first message of a link. */
function logBegin(
  { logDecision }: PeerFeedFollowerOptions,
  current: OpenPeerFeed,
  { ageMs }: PeerFeedMessage,
): void {
  if (!current.hasBegun) {
    current.hasBegun = true;
    const { name, zone } = current.peer;
    logDecision('peer feed begins', { peer: name, zone, ageMs });
  }
}

/** Failed attempts may be frequent, so their lines are rate-limited. */
function logEnd(
  { state, logDecision, packetLog, nowMs }: PeerFeedFollowerOptions,
  { peer }: OpenPeerFeed,
  { why, hadFeed }: ClosedPeerFeed,
  reason: string,
): void {
  const fields = { peer: peer.name, address: formatAddress(peer.peerAddress), why, reason };
  if (hadFeed) {
    logDecision('peer feed ends', { ...fields, ageMs: peerAgeMs(state, nowMs()) });
  } else {
    packetLog.log('peer feed not given', fields);
  }
}

/** @returns time since the peer that feeds this balancer was current, in milliseconds; undefined if there is none */
export function peerAgeMs({ peerKnowledge }: IngressState, nowMs: number): number | undefined {
  const { asOfMs } = peerKnowledge;
  return asOfMs === undefined ? undefined : Math.round(nowMs - asOfMs);
}
