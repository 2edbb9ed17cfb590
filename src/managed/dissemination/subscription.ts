/**
 * @file A balancer's subscription to the configuration, over one upstream link at a time: to a control machine or to
 * another balancer. `link-selection.ts` chooses the link, `upstream-report.ts` builds the reports.
 */
import { match } from 'ts-pattern';
import type { ConfigUpdate } from '../control/config-delta.js';
import type { SharedResult } from '../health/health-sharing.js';
import { applyGrant } from './lease.js';
import {
  handleLinkClosed,
  delayReconnect,
  isLinkStale,
  openLink,
  retryPreferred,
  shouldSwitchToLeader,
  shouldRetryPreferred,
} from './link-selection.js';
import type { ControlToBalancerMessage, HeartbeatMessage } from './link-messages.js';
import type { SubscriptionEffect, SubscriptionState } from './subscription-state.js';
import { acknowledge, isReportDue, subscribeEffect, type ReportSource } from './upstream-report.js';

/** The result of a message from upstream. */
interface SubscriptionReaction {
  /** An update to apply before the effects are performed. */
  readonly update?: ConfigUpdate;
  /** Health probe results from another balancer. */
  readonly results?: readonly SharedResult[];
  readonly effects: SubscriptionEffect[];
}

/**
 * Closes a stale link, opens one when due, and reports upstream, which also renews the lease.
 */
export function subscriptionTick(
  state: SubscriptionState,
  source: ReportSource,
  nowMs: number,
): SubscriptionEffect[] {
  if (state.linked && isLinkStale(state, source.position.index > 0, nowMs)) {
    handleLinkClosed(state, state.linkId, nowMs);
  }
  if (!state.linked) {
    return nowMs < state.reconnectAtMs ? [] : openLink(state, nowMs);
  }
  if (shouldRetryPreferred(state, nowMs)) {
    return retryPreferred(state, nowMs);
  }
  return isReportDue(state, source, nowMs) ? acknowledge(state, source, nowMs) : [];
}

/**
 * Subscribes from the position in force over a newly opened link.
 */
export function handleLinkOpened(
  state: SubscriptionState,
  linkId: number,
  source: ReportSource,
  nowMs: number,
): SubscriptionEffect[] {
  return linkId === state.linkId ? [subscribeEffect(state, source, nowMs)] : [];
}

/**
 * Handles a message from upstream; messages of an earlier link are ignored.
 */
export function handleControlMessage(
  state: SubscriptionState,
  linkId: number,
  message: ControlToBalancerMessage,
  source: ReportSource,
  nowMs: number,
): SubscriptionReaction {
  if (linkId !== state.linkId) {
    return { effects: [] };
  }
  state.receivedAtMs = nowMs;
  state.hasAnswered = true;
  return match(message)
    .with({ type: 'update' }, ({ update }): SubscriptionReaction => ({ update, effects: [] }))
    .with({ type: 'heartbeat' }, (heartbeat): SubscriptionReaction => ({
      effects: applyHeartbeat(state, heartbeat, source, nowMs),
    }))
    .with({ type: 'health-state' }, ({ results }): SubscriptionReaction => ({
      results,
      effects: [],
    }))
    .with({ type: 'link-refused' }, (): SubscriptionReaction => {
      handleLinkClosed(state, linkId, nowMs);
      state.refused = true;
      delayReconnect(state, nowMs);
      return { effects: [] };
    })
    .exhaustive();
}

function applyHeartbeat(
  state: SubscriptionState,
  heartbeat: HeartbeatMessage,
  source: ReportSource,
  nowMs: number,
): SubscriptionEffect[] {
  const { committed, lease, leader, subtreeSize = 0 } = heartbeat;
  const { position } = source;
  state.committed = committed;
  state.refused = false;
  if (lease !== undefined && applyGrant(state.lease, lease, position.index)) {
    state.extendedAtMs = nowMs;
    state.hasExtended = true;
    state.fallbackCursor = undefined;
    state.failedCandidates.clear();
  }
  state.mustSendMembers = subtreeSize !== state.sentMemberCount;
  if (leader !== undefined && shouldSwitchToLeader(state, leader, nowMs)) {
    state.leader = leader;
    return openLink(state, nowMs);
  }
  return committed.index > position.index ? [subscribeEffect(state, source, nowMs)] : [];
}
