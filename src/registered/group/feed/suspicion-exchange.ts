/**
 * @file Exchanges suspicions on back ends: sends those of the connected balancers to the other control machines, and the
 * merged ones to each connected balancer, with the back ends whose heartbeat is overdue. All balancers get the same table.
 */
import { formatAddress } from '../../../shared/common/address.js';
import type { LinkId } from '../../../shared/common/link-table.js';
import {
  createSuspicionTotals,
  type SuspicionTotals,
} from '../../load-exchange/suspicion-totals.js';
import {
  createSuspicionThrottle,
  type SuspicionThrottle,
} from '../../load-exchange/suspicion-throttle.js';
import {
  packSuspicions,
  SUSPICION_LIFETIME_MS,
  type Suspicion,
} from '../../load-exchange/suspicion-rows.js';
import { isHeartbeatOverdue } from '../../registry/backend-liveness.js';
import { plainTokenOf, tokenOf } from '../../registry/backend-token.js';
import type { GroupEffect } from '../group-events.js';
import type { FeedMessage, LoadReportMessage, PeerMessage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { isCurrent, otherMembers } from '../leadership.js';
import { isBehind, isWindowFull } from './feed-plan.js';

/** Suspicions on a control machine. */
export interface SharedSuspicions {
  readonly totals: SuspicionTotals;
  /** Limits how often those of the connected balancers are sent to the other control machines. */
  readonly sumsThrottle: SuspicionThrottle;
}

/** @returns suspicions without reports */
export function createSharedSuspicions(): SharedSuspicions {
  return { totals: createSuspicionTotals(), sumsThrottle: createSuspicionThrottle() };
}

/** Applies the suspicions in the report of a connected balancer. */
export function applySuspicionReport(
  {
    suspicions,
    subscribers,
    heartbeats,
  }: Pick<GroupState, 'suspicions' | 'subscribers' | 'heartbeats'>,
  linkId: LinkId,
  { suspects }: LoadReportMessage,
  nowMs: number,
): void {
  const subscriber = subscribers.get(linkId);
  if (suspects !== undefined && subscriber !== undefined) {
    // After a pause, waits may be from a link that its balancer has left long ago.
    const maxFlows = heartbeats.contact.hasPausedWithin(SUSPICION_LIFETIME_MS, nowMs)
      ? 0
      : undefined;
    suspicions.totals.applyReport(subscriber.balancer.name, linkId, suspects, nowMs, maxFlows);
  }
}

/** Applies the suspicions in the sums of another control machine. */
export function applySuspicionSums(
  { suspicions }: Pick<GroupState, 'suspicions'>,
  { sender, suspects }: Extract<PeerMessage, { readonly type: 'load-sums' }>,
  nowMs: number,
): void {
  if (suspects !== undefined) {
    suspicions.totals.applySums(formatAddress(sender), suspects, nowMs);
  }
}

/** Sends the suspicions of the connected balancers to the other control machines. */
export function shareSuspicions(
  {
    suspicions,
    loads,
    consensus,
    options,
  }: Pick<GroupState, 'suspicions' | 'loads' | 'consensus' | 'options'>,
  nowMs: number,
): GroupEffect[] {
  const own = suspicions.totals.own(nowMs);
  if (!suspicions.sumsThrottle.admit(own, nowMs)) {
    return [];
  }
  const message = {
    type: 'load-sums',
    sender: options.linkAddress,
    // Older programs reject a message without another table.
    loads: loads.totals.ownSums(),
    suspects: packSuspicions(own, nowMs),
  } as const;
  return otherMembers({ consensus }).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message,
  }));
}

/** State from which the table for balancers is built. */
type PublishedState = Pick<
  GroupState,
  'configs' | 'consensus' | 'heartbeats' | 'options' | 'registry' | 'subscribers' | 'suspicions'
>;

/** Sends each connected balancer the suspicions of all balancers. */
export function publishSuspicions(state: PublishedState, nowMs: number): GroupEffect[] {
  const fleet = withOverdue(state, state.suspicions.totals.fleet(nowMs), nowMs);
  const suspects = packSuspicions(fleet, nowMs);
  const effects: GroupEffect[] = [];
  for (const [linkId, subscriber] of state.subscribers) {
    const isReceiving = subscriber.phase !== 'new' && !isWindowFull(subscriber);
    if (isReceiving && subscriber.suspicions.admit(fleet, nowMs)) {
      const isComplete = !isBehind(state, subscriber);
      const message: FeedMessage = {
        type: 'feed',
        isCurrent: isCurrent(state, nowMs),
        isComplete,
        isCounted: false,
        suspects,
      };
      effects.push({ type: 'send-feed', linkId, message });
    }
  }
  return effects;
}

/** Marks the back ends whose heartbeat is overdue; a machine that may have missed heartbeats marks none. */
function withOverdue(
  state: PublishedState,
  suspicions: readonly Suspicion[],
  nowMs: number,
): readonly Suspicion[] {
  const { contact } = state.heartbeats;
  if (suspicions.length === 0 || !isCurrent(state, nowMs) || !contact.isUnbroken(nowMs)) {
    return suspicions.map((suspicion) => ({ ...suspicion, isOverdue: false }));
  }
  const tokens = overdueTokens(state, nowMs);
  return suspicions.map((suspicion) => ({
    ...suspicion,
    isOverdue: tokens.has(suspicion.token),
  }));
}

/** @returns both tokens of each back end whose heartbeat is overdue, since balancers may use either */
function overdueTokens(
  { registry, heartbeats, options }: PublishedState,
  nowMs: number,
): ReadonlySet<number> {
  const { listeningSinceMs } = heartbeats;
  if (listeningSinceMs === undefined) {
    return new Set();
  }
  const overdue = [...registry.all()].filter(({ lastHeartbeatAtMs }) => {
    const silentMs = nowMs - Math.max(lastHeartbeatAtMs, listeningSinceMs);
    return isHeartbeatOverdue(silentMs, options.heartbeatIntervalMs);
  });
  return new Set(overdue.flatMap(({ record }) => [tokenOf(record), plainTokenOf(record)]));
}
