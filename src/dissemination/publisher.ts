/**
 * @file Keeps balancers up to date: the control machine's side of dissemination, as decision steps.
 * Each subscriber gets the deltas that it lacks, or a snapshot where the kept deltas don't reach, and
 * acknowledges what it has in force.
 */
import type { Address } from '../common/address.js';
import type { RoutingConfig } from '../control/cluster-state.js';
import {
  snapshotOf,
  type ConfigChange,
  type ConfigDelta,
  type ConfigPosition,
} from '../control/config-update.js';
import {
  expireReports,
  inForceIndex,
  type BalancerReport,
  type BalancerReports,
} from './in-force.js';
import {
  createLeaseAuthority,
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

/** How many deltas are kept for subscribers that lag. */
const MAX_KEPT_DELTAS = 1_000;

/** Names a link of this process; never used again while the process runs. */
export type LinkId = number;

/** A balancer that is linked here. */
export interface Subscriber {
  readonly balancerId: string;
  readonly zone: string;
}

/** Sends a message over a link. */
export interface LinkSendEffect {
  readonly type: 'link-send';
  readonly linkId: LinkId;
  readonly message: ControlToBalancerMessage;
}

/** The state of a publisher. */
export interface PublisherState {
  readonly clusterKey: string;
  readonly subscribers: Map<LinkId, Subscriber>;
  /** Oldest first; each follows on the one before. */
  readonly deltas: ConfigDelta[];
  committed: ConfigPosition;
  readonly authority: LeaseAuthority;
  readonly reports: BalancerReports;
  /** Link address of the leader, where it is another machine and known. */
  leader: Address | undefined;
}

/**
 * @returns a publisher without subscribers
 */
export function createPublisher(clusterKey: string): PublisherState {
  return {
    clusterKey,
    subscribers: new Map(),
    deltas: [],
    committed: { term: 0, index: 0 },
    authority: createLeaseAuthority(),
    reports: new Map(),
    leader: undefined,
  };
}

/**
 * Takes the changes of one committed entry.
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
 * Jumps to a position that was reached without its changes; subscribers are sent a snapshot.
 */
export function skipToPosition(state: PublisherState, position: ConfigPosition): void {
  state.deltas.length = 0;
  state.committed = position;
}

/**
 * Takes a message from a balancer.
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
  const { position, sentAtMs } = message;
  state.reports.set(subscriber.balancerId, { ...subscriber, position, reportedAtMs: nowMs });
  return [...updates, heartbeat(state, linkId, sentAtMs, nowMs)];
}

/**
 * Forgets a link that is closed. Its balancer is counted until it is past its lease.
 */
export function handleSubscriberGone(state: PublisherState, linkId: LinkId): void {
  state.subscribers.delete(linkId);
}

/** How far the configuration has come. */
export interface DisseminationStatus {
  /** Every balancer that is not past its lease has this log index in force. */
  readonly inForceIndex: number;
  /** Every balancer has this log index in force, or is past its lease. */
  readonly fencedIndex: number;
}

/**
 * @returns how far the configuration has come; zeros until the leader has outlived earlier leases
 */
export function disseminationStatus(state: PublisherState, nowMs: number): DisseminationStatus {
  const { authority, reports, committed } = state;
  expireReports(reports, nowMs);
  const heardAll = hasOutlivedEarlierLeases(authority, nowMs);
  return {
    inForceIndex: heardAll ? inForceIndex(reports, committed.index) : 0,
    fencedIndex: fencedIndex(authority, nowMs),
  };
}

/**
 * @returns what each balancer reported last, in no order
 */
export function balancerReports(state: PublisherState): BalancerReport[] {
  return [...state.reports.values()];
}

function heartbeat(
  state: PublisherState,
  linkId: LinkId,
  askedAtMs: number,
  nowMs: number,
): LinkSendEffect {
  const lease = grantLease(state.authority, askedAtMs, nowMs);
  const message: ControlToBalancerMessage = {
    type: 'heartbeat',
    committed: state.committed,
    ...(lease !== undefined && { lease }),
    ...(state.leader !== undefined && { leader: state.leader }),
  };
  return { type: 'link-send', linkId, message };
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
