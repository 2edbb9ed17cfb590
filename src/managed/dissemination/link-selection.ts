/**
 * @file Selects a balancer's upstream link among the candidates of its plan (`link-plan.ts`): fails over from links that
 * are silent or extend no lease, follows followers' referrals to the leader, and retries preferred candidates.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { isSamePlan, candidateIndex, type LinkPlan } from './link-plan.js';
import type { SubscriptionEffect, SubscriptionState } from './subscription-state.js';

/** Delay before the next link is opened after one failed. */
const RECONNECT_DELAY_MS = 200;
/** A link without a message for this long is closed; longer than the report interval, as each report is answered. */
const LINK_SILENCE_TIMEOUT_MS = 3_000;
/** The same before the first message on a link. */
const FIRST_MESSAGE_TIMEOUT_MS = 1_500;
/** The same while there is no configuration yet, so that a new balancer finds a working link soon. */
const JOIN_FIRST_MESSAGE_TIMEOUT_MS = 300;
/** A link that extends no lease for this long is replaced by another candidate, before the lease expires. */
const LEASE_EXTENSION_TIMEOUT_MS = 6_000;
/** Delay before a leader whose link failed is retried, and before reconnecting after a refusal. */
const LEADER_RETRY_INTERVAL_MS = 5_000;
/** Time until a preferred candidate is retried while another one is used. */
const PREFERRED_RETRY_INTERVAL_MS = 30_000;
/** The same while the link in use has extended no lease. */
const PREFERRED_RETRY_WITHOUT_LEASE_MS = 1_500;

/**
 * Replaces the plan. The link in use is kept if it leads to one of the new candidates or, for a relay, to the leader.
 */
export function setLinkPlan(state: SubscriptionState, plan: LinkPlan): void {
  if (isSamePlan(plan, state.plan)) {
    return;
  }
  state.plan = plan;
  const index = state.address && state.linked ? candidateIndex(plan, state.address) : -1;
  const isAtLeader = state.leader !== undefined && plan.isRelay;
  state.cursor = Math.max(0, index);
  state.failedCandidates.clear();
  state.fallbackCursor = undefined;
  state.preferredRetryAtMs = 0;
  if (index < 0 && !isAtLeader) {
    state.linked = false;
    state.leader = undefined;
    state.reconnectAtMs = 0;
  }
}

/**
 * Handles a closed link; the next candidate is tried after a short delay.
 */
export function handleLinkClosed(state: SubscriptionState, linkId: number, nowMs: number): void {
  if (linkId !== state.linkId || !state.linked) {
    return;
  }
  state.linked = false;
  state.reconnectAtMs = nowMs + RECONNECT_DELAY_MS;
  if (state.leader === undefined) {
    state.failedCandidates.add(state.cursor);
    state.cursor = state.fallbackCursor ?? nextCandidateIndex(state);
    state.fallbackCursor = undefined;
  } else {
    state.failedLeader = { address: state.leader, untilMs: nowMs + LEADER_RETRY_INTERVAL_MS };
    state.failedCandidates.add(candidateIndex(state.plan, state.leader));
    state.cursor = state.failedCandidates.has(state.cursor)
      ? nextCandidateIndex(state)
      : state.cursor;
    state.leader = undefined;
  }
}

/**
 * Delays the next link after a refusal, as other candidates of the same cluster would refuse too.
 */
export function delayReconnect(state: SubscriptionState, nowMs: number): void {
  state.reconnectAtMs = nowMs + LEADER_RETRY_INTERVAL_MS;
}

/**
 * @param hasConfig false while there is no configuration yet
 * @returns true if the link should be closed
 */
export function isLinkStale(state: SubscriptionState, hasConfig: boolean, nowMs: number): boolean {
  const firstMessageTimeoutMs = hasConfig
    ? FIRST_MESSAGE_TIMEOUT_MS
    : JOIN_FIRST_MESSAGE_TIMEOUT_MS;
  const silenceTimeoutMs = state.hasAnswered ? LINK_SILENCE_TIMEOUT_MS : firstMessageTimeoutMs;
  const hasAlternatives = state.plan.candidates.length > 1;
  return (
    nowMs - state.receivedAtMs > silenceTimeoutMs ||
    (hasAlternatives && nowMs - state.extendedAtMs > LEASE_EXTENSION_TIMEOUT_MS)
  );
}

/**
 * @returns true if a preferred candidate should be retried now
 */
export function shouldRetryPreferred(state: SubscriptionState, nowMs: number): boolean {
  const { plan, cursor, preferredRetryAtMs, hasExtended, extendedAtMs } = state;
  const isPreferred = cursor < plan.preferredCount;
  const dueAtMs = hasExtended
    ? preferredRetryAtMs
    : extendedAtMs + PREFERRED_RETRY_WITHOUT_LEASE_MS;
  return !isPreferred && plan.preferredCount > 0 && nowMs >= dueAtMs;
}

/**
 * Retries a preferred candidate; if it fails, the current one is used again.
 */
export function retryPreferred(state: SubscriptionState, nowMs: number): SubscriptionEffect[] {
  state.fallbackCursor = state.cursor;
  state.leader = undefined;
  state.cursor = state.preferredRetryCount % state.plan.preferredCount;
  state.preferredRetryCount += 1;
  return openLink(state, nowMs);
}

/**
 * Opens a link to the leader if it is known, else to the candidate at the cursor.
 */
export function openLink(state: SubscriptionState, nowMs: number): SubscriptionEffect[] {
  const { candidates, preferredCount } = state.plan;
  if (candidates.length === 0) {
    return [];
  }
  state.cursor %= candidates.length;
  if (state.cursor < preferredCount) {
    state.preferredRetryAtMs = nowMs + PREFERRED_RETRY_INTERVAL_MS;
  }
  const address = state.leader ?? candidates[state.cursor];
  if (address === undefined) {
    return [];
  }
  state.linkId += 1;
  state.linked = true;
  state.address = address;
  state.receivedAtMs = nowMs;
  state.hasAnswered = false;
  state.extendedAtMs = nowMs;
  state.hasExtended = false;
  // A new upstream does not know this balancer's subtree yet.
  state.sentMembersVersion = 0;
  state.sentMemberCount = 0;
  state.mustSendMembers = false;
  return [{ type: 'link-open', linkId: state.linkId, address }];
}

/**
 * Only the leader originates leases, so balancers switch to it when a follower names it.
 * @returns true if the link in use leads elsewhere and the leader's link has not failed recently
 */
export function shouldSwitchToLeader(
  state: SubscriptionState,
  leader: Address,
  nowMs: number,
): boolean {
  const { address, failedLeader } = state;
  const isAlreadyLinked = address !== undefined && isSameAddress(leader, address);
  const hasFailed =
    failedLeader !== undefined &&
    nowMs < failedLeader.untilMs &&
    isSameAddress(leader, failedLeader.address);
  return !isAlreadyLinked && !hasFailed;
}

function isSameAddress(one: Address, other: Address): boolean {
  return formatAddress(one) === formatAddress(other);
}

/** Returns the index of the best candidate that has not failed; once all have, starts over. */
function nextCandidateIndex({ plan, failedCandidates }: SubscriptionState): number {
  const next = plan.candidates.findIndex((_, index) => !failedCandidates.has(index));
  if (next < 0) {
    failedCandidates.clear();
  }
  return Math.max(0, next);
}
