/**
 * @file Publishes the configuration to subscribers: missing deltas, or a snapshot if they are no longer retained, and a
 * heartbeat with a lease for each report. Control machines publish committed entries; balancers relay what they have in
 * force.
 */
import type { Address } from '../../shared/common/address.js';
import type { RoutingConfig } from '../control/routing-config.js';
import {
  snapshotOf,
  type ConfigChange,
  type ConfigDelta,
  type ConfigPosition,
  type ConfigUpdate,
} from '../control/config-delta.js';
import { delegateLease, type Lease, type LeaseGrant } from './lease.js';
import {
  fencedIndex,
  grantLease,
  haveEarlierLeasesExpired,
  type LeaseAuthority,
} from './lease-authority.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
  SubscribeMessage,
} from './link-messages.js';
import {
  allReports,
  createSubtreeReports,
  removeLink,
  expireReports,
  lowestIndex,
  applyReport,
  type BalancerReport,
  type SubtreeReports,
} from './subtree-report.js';

/** Deltas retained for subscribers that lag or reconnect; others get a snapshot. */
const MAX_RETAINED_DELTAS = 1_000;

/** ID of a link; not reused while the process runs. */
export type LinkId = number;

/** A balancer that has subscribed over a link. */
interface Subscriber {
  readonly balancerId: string;
  readonly zone: string;
}

/** Sends a message over a link. */
export interface LinkSendEffect {
  readonly type: 'link-send';
  readonly linkId: LinkId;
  readonly message: ControlToBalancerMessage;
}

/** The source of the leases that a publisher grants. */
type LeaseSource =
  | { readonly type: 'authority'; readonly authority: LeaseAuthority }
  /** A balancer's own lease, whose remaining time it delegates. */
  | { readonly type: 'held'; readonly lease: Lease };

/** The state of a publisher. */
export interface PublisherState {
  readonly clusterKey: string;
  readonly subscribers: Map<LinkId, Subscriber>;
  /** Oldest first; each starts at the position where the previous one ends. */
  readonly deltas: ConfigDelta[];
  committed: ConfigPosition;
  readonly leaseSource: LeaseSource;
  readonly reports: SubtreeReports;
  /** Link address of the leader, if it is known and another machine. */
  leader: Address | undefined;
}

/**
 * @returns a publisher without subscribers
 */
export function createPublisher(clusterKey: string, leaseSource: LeaseSource): PublisherState {
  return {
    clusterKey,
    subscribers: new Map(),
    deltas: [],
    committed: { term: 0, index: 0 },
    leaseSource,
    reports: createSubtreeReports(),
    leader: undefined,
  };
}

/**
 * Publishes the changes of one committed entry.
 * @returns the delta for each subscriber
 */
export function publishChanges(
  state: PublisherState,
  position: ConfigPosition,
  changes: readonly ConfigChange[],
): LinkSendEffect[] {
  const delta: ConfigDelta = { type: 'delta', from: state.committed, to: position, changes };
  state.committed = position;
  state.deltas.push(delta);
  if (state.deltas.length > MAX_RETAINED_DELTAS) {
    state.deltas.shift();
  }
  return [...state.subscribers.keys()].map((linkId) => ({
    type: 'link-send',
    linkId,
    message: { type: 'update', update: delta },
  }));
}

/**
 * Relays an update that this balancer has applied. After a snapshot, subscribers get a heartbeat and subscribe again.
 * @returns the messages to subscribers
 */
export function relayUpdate(state: PublisherState, update: ConfigUpdate): LinkSendEffect[] {
  if (update.type === 'delta') {
    return publishChanges(state, update.to, update.changes);
  }
  skipToPosition(state, update.to);
  const message: ControlToBalancerMessage = { type: 'heartbeat', committed: update.to };
  return [...state.subscribers.keys()].map((linkId) => ({ type: 'link-send', linkId, message }));
}

/**
 * Moves to a position whose changes are unknown; subscribers behind it get a snapshot.
 */
export function skipToPosition(state: PublisherState, position: ConfigPosition): void {
  state.deltas.length = 0;
  state.committed = position;
}

/**
 * Handles a message from a subscriber.
 * @param config the committed configuration, for snapshots
 */
export function handleSubscriberMessage(
  state: PublisherState,
  linkId: LinkId,
  message: BalancerToControlMessage,
  config: RoutingConfig,
  nowMs: number,
): LinkSendEffect[] {
  const updates = message.type === 'subscribe' ? subscribe(state, linkId, message, config) : [];
  const subscriber = state.subscribers.get(linkId);
  if (subscriber === undefined) {
    return updates;
  }
  const { position, sentAtMs, subtree } = message;
  const report = { ...subscriber, index: position.index, ...(subtree && { subtree }) };
  applyReport(state.reports, linkId, report, nowMs);
  return [...updates, heartbeat(state, linkId, sentAtMs, nowMs)];
}

/**
 * Removes the subscriber of a closed link. Its report counts until it subscribes elsewhere or its lease expires.
 */
export function handleSubscriberDisconnected(state: PublisherState, linkId: LinkId): void {
  state.subscribers.delete(linkId);
  removeLink(state.reports, linkId);
}

/** How far the configuration has been disseminated. */
interface DisseminationStatus {
  /** Log index that every reporting balancer has in force. */
  readonly inForceIndex: number;
  /** Log index that every balancer with a lease has in force; needs no reports. */
  readonly fencedIndex: number;
}

/**
 * @param authority the leader's lease state
 * @returns the status; zeros until the leases of earlier leaders have expired
 */
export function disseminationStatus(
  state: PublisherState,
  authority: LeaseAuthority,
  nowMs: number,
): DisseminationStatus {
  expireReports(state.reports, nowMs);
  const isComplete = haveEarlierLeasesExpired(authority, nowMs);
  return {
    inForceIndex: isComplete ? lowestIndex(state.reports, state.committed.index) : 0,
    fencedIndex: fencedIndex(authority, nowMs),
  };
}

/**
 * @returns the last report of each balancer, in no particular order
 */
export function balancerReports(state: PublisherState): BalancerReport[] {
  return allReports(state.reports);
}

function heartbeat(
  state: PublisherState,
  linkId: LinkId,
  askedAtMs: number,
  nowMs: number,
): LinkSendEffect {
  const lease = grantFrom(state.leaseSource, askedAtMs, nowMs);
  const subtreeSize = state.reports.links.get(linkId)?.members.size ?? 0;
  const message: ControlToBalancerMessage = {
    type: 'heartbeat',
    committed: state.committed,
    ...(lease !== undefined && { lease }),
    ...(state.leader !== undefined && { leader: state.leader }),
    ...(subtreeSize > 0 && { subtreeSize }),
  };
  return { type: 'link-send', linkId, message };
}

function grantFrom(source: LeaseSource, askedAtMs: number, nowMs: number): LeaseGrant | undefined {
  return source.type === 'authority'
    ? grantLease(source.authority, askedAtMs, nowMs)
    : delegateLease(source.lease, askedAtMs, nowMs);
}

function subscribe(
  state: PublisherState,
  linkId: LinkId,
  message: SubscribeMessage,
  config: RoutingConfig,
): LinkSendEffect[] {
  if (message.clusterKey !== state.clusterKey) {
    return [
      { type: 'link-send', linkId, message: { type: 'link-refused', kind: 'wrong-cluster' } },
    ];
  }
  const { balancerId, zone, position } = message;
  state.subscribers.set(linkId, { balancerId, zone });
  return updatesSince(state, position, config).map((update) => ({
    type: 'link-send',
    linkId,
    message: { type: 'update', update },
  }));
}

function updatesSince(state: PublisherState, position: ConfigPosition, config: RoutingConfig) {
  if (position.index >= state.committed.index) {
    return [];
  }
  const first = state.deltas.findIndex((delta) => delta.from.index === position.index);
  if (position.index > 0 && first >= 0) {
    return state.deltas.slice(first);
  }
  return [snapshotOf(config, state.committed)];
}
