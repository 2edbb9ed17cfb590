/**
 * @file The two sides of peer feeds at one balancer: the feed that it follows, and those that it gives.
 */
import type { Address } from '../../../shared/common/address.js';
import type { ControlInfo } from '../../group/group-messages.js';
import type { DecisionFields } from '../decision-log.js';
import { createPeerFeedFollower, type PeerFeedFollowerOptions } from './peer-feed-follower.js';
import { createPeerFeedServer, type PeerFeedServer } from './peer-feed-server.js';
import { createStallDetector } from '../../../shared/common/stall-detector.js';
import type { IngressState } from '../../ingress/ingress-state.js';

/** Options and dependencies of both sides. */
export interface PeerFeedsOptions {
  readonly state: PeerFeedFollowerOptions['state'];
  readonly peerAddress: Address;
  /** Rate of the machine's network link in bytes per millisecond; undefined if it is not paced. */
  readonly linkBytesPerMs: number | undefined;
  /** Clock, network and log of the balancer. */
  readonly environment: Pick<
    PeerFeedFollowerOptions,
    'nowMs' | 'after' | 'connectBalancer' | 'logDecision' | 'packetLog'
  >;
  /** Sender of the machine's link. */
  readonly sender: Pick<PeerFeedFollowerOptions, 'charge'>;
  /** Follower of the control machines. */
  readonly feed: { applyControls(controls: readonly ControlInfo[]): void };
}

/** The feed that a balancer follows, and those that it gives. */
export interface PeerFeeds extends PeerFeedServer {
  /** Runs the periodic work of both sides. */
  tick(nowMs: number): void;
}

/** @returns the peer feeds of a balancer; undefined where they are switched off */
export function createPeerFeeds(options: PeerFeedsOptions): PeerFeeds | undefined {
  const { state, peerAddress, linkBytesPerMs, environment, sender, feed } = options;
  const { name, zone, switches } = state.options;
  if (switches.peerFeed === 'off') {
    return undefined;
  }
  const shared = {
    state,
    isPaused: createPauseCheck(state),
    nowMs: () => environment.nowMs(),
    after: (delayMs: number, run: () => void) => environment.after(delayMs, run),
    charge: (bytes: number) => sender.charge(bytes),
    logDecision: (event: string, fields: DecisionFields) => environment.logDecision(event, fields),
  };
  const follower = createPeerFeedFollower({
    ...shared,
    connectBalancer: (to, handlers) => environment.connectBalancer(to, handlers),
    applyControls: (controls) => feed.applyControls(controls),
    packetLog: environment.packetLog,
  });
  const server = createPeerFeedServer({
    ...shared,
    giver: { name, zone, peerAddress },
    linkBytesPerMs,
  });

  return {
    get subscribers() {
      return server.subscribers;
    },
    handlers: server.handlers,
    relay: (message) => server.relay(message),
    tick: (nowMs) => {
      follower.tick(nowMs);
      server.tick(nowMs);
    },
  };
}

/** A pause over the timeout of a silent feed leaves messages whose age is unknown. */
function createPauseCheck({ options }: IngressState): (nowMs: number) => boolean {
  const { silentAfterMs } = options.feed;
  const stalls = createStallDetector({
    stallThresholdMs: silentAfterMs,
    peerRetentionMs: silentAfterMs,
  });
  return (nowMs) => {
    stalls.recordActivity(nowMs);
    return stalls.freshnessAt(nowMs) !== 'fresh';
  };
}
