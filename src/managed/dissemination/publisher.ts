/**
 * @file What does a publisher send to a subscriber? The deltas that it lacks, or a snapshot where the deltas that are kept
 * don't reach back; and with each report a heartbeat with the committed position and a lease. Control machines publish what
 * is committed, balancers pass on what they have in force.
 *
 * Owns `PublisherState`: subscribers, the last deltas, and the reports of the balancers below (`subtree-report.ts`).
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
import { passOnLease, type Lease, type LeaseGrant } from './lease.js';
import {
  fencedIndex,
  grantLease,
  hasOutlivedEarlierLeases,
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
  dropLink,
  expireReports,
  lowestIndex,
  applyReport,
  type BalancerReport,
  type SubtreeReports,
} from './subtree-report.js';

/** Deltas that are kept for subscribers that lag. Not measured; too few if balancers that reconnect get snapshots. */
const MAX_KEPT_DELTAS = 1_000;

/** Names a link of this process; never used again while the process runs. */
export type LinkId = number;

/** A balancer that is linked here. */
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
  /** A balancer's own lease, of which it passes on what is left. */
  | { readonly type: 'held'; readonly lease: Lease };

/** The state of a publisher. */
export interface PublisherState {
  readonly clusterKey: string;
  readonly subscribers: Map<LinkId, Subscriber>;
  /** Oldest first; each follows on the one before. */
  readonly deltas: ConfigDelta[];
  committed: ConfigPosition;
  readonly leaseSource: LeaseSource;
  readonly reports: SubtreeReports;
  /** Link address of the leader, where it is another machine and known. */
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
 * @returns what to send to subscribers
 */
export function publishChanges(
  state: PublisherState,
  position: ConfigPosition,
  changes: readonly ConfigChange[],
): LinkSendEffect[] {
  const delta: ConfigDelta = { type: 'delta', from: state.committed, to: position, changes };
  state.committed = position;
  state.deltas.push(delta);
  if (state.deltas.length > MAX_KEPT_DELTAS) {
    state.deltas.shift();
  }
  return [...state.subscribers.keys()].map((linkId) => ({
    type: 'link-send',
    linkId,
    message: { type: 'update', update: delta },
  }));
}

/**
 * Passes on an update that this balancer has applied.
 * @returns what to send to subscribers
 */
export function passOnUpdate(state: PublisherState, update: ConfigUpdate): LinkSendEffect[] {
  if (update.type === 'delta') {
    return publishChanges(state, update.to, update.changes);
  }
  skipToPosition(state, update.to);
  const message: ControlToBalancerMessage = { type: 'heartbeat', committed: update.to };
  return [...state.subscribers.keys()].map((linkId) => ({ type: 'link-send', linkId, message }));
}

/**
 * Jumps to a position that was reached without its changes; subscribers are sent a snapshot.
 */
export function skipToPosition(state: PublisherState, position: ConfigPosition): void {
  state.deltas.length = 0;
  state.committed = position;
}

/**
 * Handles a message of a balancer.
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
 * Removes a link that is closed. Its balancer is counted until it is past its lease.
 */
export function handleSubscriberGone(state: PublisherState, linkId: LinkId): void {
  state.subscribers.delete(linkId);
  dropLink(state.reports, linkId);
}

/** How far the configuration has come. */
interface DisseminationStatus {
  /** Every balancer that is not past its lease has this log index in force. */
  readonly inForceIndex: number;
  /** Every balancer has this log index in force, or is past its lease. */
  readonly fencedIndex: number;
}

/**
 * @param authority the leader's
 * @returns how far the configuration has come; zeros until the leader has outlived earlier leases, see `lease-authority.ts`
 */
export function disseminationStatus(
  state: PublisherState,
  authority: LeaseAuthority,
  nowMs: number,
): DisseminationStatus {
  expireReports(state.reports, nowMs);
  const isComplete = hasOutlivedEarlierLeases(authority, nowMs);
  return {
    inForceIndex: isComplete ? lowestIndex(state.reports, state.committed.index) : 0,
    fencedIndex: fencedIndex(authority, nowMs),
  };
}

/**
 * @returns what each balancer reported last, in no order
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
    : passOnLease(source.lease, askedAtMs, nowMs);
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
  return catchUp(state, position, config).map((update) => ({
    type: 'link-send',
    linkId,
    message: { type: 'update', update },
  }));
}

function catchUp(state: PublisherState, position: ConfigPosition, config: RoutingConfig) {
  if (position.index >= state.committed.index) {
    return [];
  }
  const first = state.deltas.findIndex((delta) => delta.from.index === position.index);
  if (position.index > 0 && first >= 0) {
    return state.deltas.slice(first);
  }
  return [snapshotOf(config, state.committed)];
}
