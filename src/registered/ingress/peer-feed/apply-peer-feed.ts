/**
 * @file Applies messages of a peer feed. They never make a balancer current, so all that needs a current feed stays as when
 * it is cut off: opens of unknown routes are not reset, dead back ends end no flows, cold back ends get no flows. A restart
 * that a peer tells of may end flows of the earlier start, as its state is lost (`decisions/restarted-backend.ts`). While a
 * control machine is current, only departures and orders for zones apply, which can't be undone or carry their own order.
 */
import type { FeedMessage } from '../../group/group-messages.js';
import type { BackendRecord } from '../../registry/backend-record.js';
import { applyFeedContent, type ConfigOutcome, type SyncProgress } from '../feed-step.js';
import { createConfigAssembly } from '../config-assembly.js';
import { createFullSync } from '../full-sync.js';
import { isFeedCurrent, type IngressState } from '../ingress-state.js';
import type { PeerFeedMessage } from './peer-feed-messages.js';

/** Transfers of one link to a peer. */
export interface PeerProgress extends SyncProgress {
  /** Time at which the peer was last current; messages of one link are in order, whatever time they took. */
  asOfMs: number;
}

/** @returns the progress of a new link */
export function createPeerProgress(): PeerProgress {
  const asOfMs = Number.NEGATIVE_INFINITY;
  return { fullSync: createFullSync(), configAssembly: createConfigAssembly(), asOfMs };
}

/** Effect of a message of a peer. */
export interface PeerFeedOutcome {
  readonly config: ConfigOutcome;
  /** True if part of the message was left out; the peer must state it again. */
  readonly hasDropped: boolean;
  /** True if nothing newer is known here. */
  readonly isNewest: boolean;
}

/**
 * Applies a message of a peer.
 * @param progress transfers of this link; separate from those of the control machine
 */
export function applyPeerFeed(
  state: IngressState,
  progress: PeerProgress,
  { ageMs, heldMs, feed }: PeerFeedMessage,
  nowMs: number,
): PeerFeedOutcome {
  const { peerKnowledge } = state;
  progress.asOfMs = Math.max(progress.asOfMs, nowMs - ageMs);
  const { asOfMs } = progress;
  const isNewest = peerKnowledge.isNewest(asOfMs) && !isFeedCurrent(state, nowMs);
  peerKnowledge.recordPeer(asOfMs);
  if (feed === undefined) {
    return { config: { type: 'unchanged' }, hasDropped: false, isNewest };
  }
  const applied = appliedPart(state, feed, asOfMs, isNewest, nowMs);
  const config = applyFeedContent(state, progress, {
    received: feed,
    applied,
    endsSync: isNewest ? 'completely' : 'not-at-all',
    nowMs: nowMs - heldMs,
    inactiveIds: inactiveIdsOf(feed),
  });
  return { config, hasDropped: !isNewest && isMoreThan(feed, applied), isNewest };
}

function appliedPart(
  state: IngressState,
  feed: FeedMessage,
  asOfMs: number,
  isNewest: boolean,
  nowMs: number,
): FeedMessage {
  if (isFeedCurrent(state, nowMs)) {
    const { type, isCurrent, isComplete, isCounted, departures, zones } = feed;
    const flags = { type, isCurrent, isComplete, isCounted };
    return { ...flags, ...(departures && { departures }), ...(zones && { zones }) };
  }
  const isNewRecord = ({ id, sequence }: BackendRecord): boolean => {
    const held = state.backends.find(id)?.registration.record;
    return held === undefined || sequence > held.sequence;
  };
  const ordered = isNewest ? feed : withoutBalancers(feed);
  return state.peerKnowledge.takeNewer(ordered, asOfMs, isNewRecord);
}

/** Lists of balancers have no order, so an older one is left out. */
function withoutBalancers(feed: FeedMessage): FeedMessage {
  return { ...feed, balancers: [], lostBalancers: [] };
}

/** @returns the back ends that take no address from another one, as they have departed or are not alive */
function inactiveIdsOf({ judgements = [], departures = [] }: FeedMessage): ReadonlySet<string> {
  const notAlive = judgements.filter(({ liveness }) => liveness !== 'alive');
  return new Set([...notAlive, ...departures].map(({ backendId }) => backendId));
}

function isMoreThan(received: FeedMessage, applied: FeedMessage): boolean {
  const isEndOfSync = received.transfer === 'ends' || received.transfer === 'whole';
  return isEndOfSync || countOf(received) > countOf(applied);
}

function countOf({ records, judgements, balancers, lostBalancers, config }: FeedMessage): number {
  const lists = [records, judgements, balancers, lostBalancers];
  return lists.reduce((sum, list) => sum + (list?.length ?? 0), Number(config !== undefined));
}
