/**
 * @file A balancer's subscription to the configuration: one link at a time, to a control machine or to another balancer. Asks
 * for the configuration and for the lease, reports what is in force, and handles what comes over the link.
 *
 * Which link is used stands in `link-choice.ts`, what is reported in `upward-report.ts`. These three modules own
 * `SubscriptionState`. Times are in milliseconds on the balancer's clock.
 */
import { match } from 'ts-pattern';
import type { ConfigUpdate } from '../control/config-delta.js';
import type { SharedResult } from '../health/health-sharing.js';
import { applyGrant } from './lease.js';
import {
  handleLinkClosed,
  holdOffReconnect,
  isLinkUseless,
  openLink,
  retryPreferred,
  shouldMoveTo,
  shouldRetryPreferred,
} from './link-choice.js';
import type { ControlToBalancerMessage, HeartbeatMessage } from './link-messages.js';
import type { SubscriptionEffect, SubscriptionState } from './subscription-state.js';
import { acknowledge, isReportDue, subscribeEffect, type ReportSource } from './upward-report.js';

/** The result of a message from above. */
interface SubscriptionReaction {
  /** An update that the balancer should apply before the effects are performed. */
  readonly update?: ConfigUpdate;
  /** Results of health probes that another balancer knows. */
  readonly results?: readonly SharedResult[];
  readonly effects: SubscriptionEffect[];
}

/**
 * Opens a link where none is open and it is time; gives up a useless one; reports, and asks to extend the lease.
 */
export function subscriptionTick(
  state: SubscriptionState,
  source: ReportSource,
  nowMs: number,
): SubscriptionEffect[] {
  if (state.linked && isLinkUseless(state, source.position.index > 0, nowMs)) {
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
 * Subscribes from the position in force, over a link that has just been opened.
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
 * Handles a message from above; those of an earlier link are ignored.
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
      holdOffReconnect(state, nowMs);
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
    state.returnTo = undefined;
    state.failed.clear();
  }
  state.mustSendMembers = subtreeSize !== state.sentMemberCount;
  if (leader !== undefined && shouldMoveTo(state, leader, nowMs)) {
    state.leader = leader;
    return openLink(state, nowMs);
  }
  return committed.index > position.index ? [subscribeEffect(state, source, nowMs)] : [];
}
