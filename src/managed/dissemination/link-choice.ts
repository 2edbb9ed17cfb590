/**
 * @file Which link does a balancer use to get the configuration and its lease, and when does it give it up?
 *
 * 1. It tries the candidates of its plan (`link-plan.ts`) in order, after a failure the best one that has not failed yet.
 * 2. A machine that doesn't lead names the leader; a balancer linked to it moves there.
 * 3. A link is given up where nothing comes over it, or where it extends no lease while there are other candidates.
 * 4. While a worse candidate is used, a better one is tried again at intervals; where it fails, the former is used again.
 *
 * Inputs: the plan, the times of the last message and of the last extension, and the time of the step, in milliseconds.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { isSamePlan, placeInPlan, type LinkPlan } from './link-plan.js';
import type { SubscriptionEffect, SubscriptionState } from './subscription-state.js';

/**
 * Time before a link is opened after one failed, in milliseconds. Not measured; too short if a refused link costs
 * much traffic.
 */
const RECONNECT_DELAY_MS = 200;
/**
 * A link without a message for this time is given up, in milliseconds; more than one request to extend the lease falls into it.
 * Not measured; too short if balancers change links while no process has failed.
 */
const SILENCE_LIMIT_MS = 3_000;
/** The same for a link that has not had a message yet. Not measured. */
const FIRST_SILENCE_LIMIT_MS = 1_500;
/** The same while there is no configuration yet, so that a new balancer finds one soon. Not measured. */
const JOIN_SILENCE_LIMIT_MS = 300;
/**
 * A link that extends no lease for this time is given up for another candidate, in milliseconds: before the lease of
 * 10 s runs out.
 */
const NO_LEASE_LIMIT_MS = 6_000;
/** How long a leader whose link failed is not tried again, in milliseconds. Not measured. */
const LEADER_RETRY_INTERVAL_MS = 5_000;
/**
 * Time until a better candidate is tried again, in milliseconds. Not measured; too long if control machines keep many
 * links after a fault.
 */
const PREFERRED_RETRY_INTERVAL_MS = 30_000;
/** The same at a candidate that has extended no lease yet. Not measured. */
const NO_LEASE_RETRY_INTERVAL_MS = 1_500;

/**
 * Sets new candidates. The link in use is kept where it leads to one of them or, for a relay, to the leader.
 */
export function setLinkPlan(state: SubscriptionState, plan: LinkPlan): void {
  if (isSamePlan(plan, state.plan)) {
    return;
  }
  state.plan = plan;
  const place = state.address && state.linked ? placeInPlan(plan, state.address) : -1;
  const isAtLeader = state.leader !== undefined && plan.isRelay;
  state.cursor = Math.max(0, place);
  state.failed.clear();
  state.returnTo = undefined;
  state.preferredRetryAtMs = 0;
  if (place < 0 && !isAtLeader) {
    state.linked = false;
    state.leader = undefined;
    state.reconnectAtMs = 0;
  }
}

/**
 * Handles a closed link: the next candidate is tried after a short delay.
 */
export function handleLinkClosed(state: SubscriptionState, linkId: number, nowMs: number): void {
  if (linkId !== state.linkId || !state.linked) {
    return;
  }
  state.linked = false;
  state.reconnectAtMs = nowMs + RECONNECT_DELAY_MS;
  if (state.leader === undefined) {
    state.failed.add(state.cursor);
    state.cursor = state.returnTo ?? nextPlace(state);
    state.returnTo = undefined;
  } else {
    state.failedLeader = { address: state.leader, untilMs: nowMs + LEADER_RETRY_INTERVAL_MS };
    state.failed.add(placeInPlan(state.plan, state.leader));
    state.cursor = state.failed.has(state.cursor) ? nextPlace(state) : state.cursor;
    state.leader = undefined;
  }
}

/**
 * Delays the next link after a refusal, which another candidate of the same cluster would repeat.
 */
export function holdOffReconnect(state: SubscriptionState, nowMs: number): void {
  state.reconnectAtMs = nowMs + LEADER_RETRY_INTERVAL_MS;
}

/**
 * @param hasConfig false while there is no configuration yet
 * @returns true where the link should be given up
 */
export function isLinkUseless(
  state: SubscriptionState,
  hasConfig: boolean,
  nowMs: number,
): boolean {
  const firstLimitMs = hasConfig ? FIRST_SILENCE_LIMIT_MS : JOIN_SILENCE_LIMIT_MS;
  const silenceLimitMs = state.hasAnswered ? SILENCE_LIMIT_MS : firstLimitMs;
  const hasOthers = state.plan.candidates.length > 1;
  return (
    nowMs - state.receivedAtMs > silenceLimitMs ||
    (hasOthers && nowMs - state.extendedAtMs > NO_LEASE_LIMIT_MS)
  );
}

/**
 * @returns true where it is time to try a better candidate again
 */
export function shouldRetryPreferred(state: SubscriptionState, nowMs: number): boolean {
  const { plan, cursor, preferredRetryAtMs, hasExtended, extendedAtMs } = state;
  const isPreferred = cursor < plan.preferredCount;
  const dueAtMs = hasExtended ? preferredRetryAtMs : extendedAtMs + NO_LEASE_RETRY_INTERVAL_MS;
  return !isPreferred && plan.preferredCount > 0 && nowMs >= dueAtMs;
}

/**
 * Tries one of the better candidates; where it does not work, the present one is used again.
 */
export function retryPreferred(state: SubscriptionState, nowMs: number): SubscriptionEffect[] {
  state.returnTo = state.cursor;
  state.leader = undefined;
  state.cursor = state.preferredTries % state.plan.preferredCount;
  state.preferredTries += 1;
  return openLink(state, nowMs);
}

/**
 * Opens a link to the leader where it is known, else to the candidate whose turn it is.
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
  // The other end knows nobody below this balancer yet.
  state.sentMembersVersion = 0;
  state.sentMemberCount = 0;
  state.mustSendMembers = false;
  return [{ type: 'link-open', linkId: state.linkId, address }];
}

/**
 * Only a leader extends leases, so a balancer links to it where it can.
 * @returns true where the leader is another machine than the one in use, and its link has not failed a moment ago
 */
export function shouldMoveTo(state: SubscriptionState, leader: Address, nowMs: number): boolean {
  const { address, failedLeader } = state;
  const isThere = address !== undefined && isSameAddress(leader, address);
  const hasFailed =
    failedLeader !== undefined &&
    nowMs < failedLeader.untilMs &&
    isSameAddress(leader, failedLeader.address);
  return !isThere && !hasFailed;
}

function isSameAddress(one: Address, other: Address): boolean {
  return formatAddress(one) === formatAddress(other);
}

/** After a failure comes the best candidate that has not failed in this round; once all have, a new round begins. */
function nextPlace({ plan, failed }: SubscriptionState): number {
  const next = plan.candidates.findIndex((_, place) => !failed.has(place));
  if (next < 0) {
    failed.clear();
  }
  return Math.max(0, next);
}
