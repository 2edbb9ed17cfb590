/**
 * @file A balancer's subscription to the configuration, as decision steps: one link at a time to a
 * control machine or to another balancer, the next candidate when it fails or extends no lease.
 */
import { match } from 'ts-pattern';
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { ConfigPosition, ConfigUpdate } from '../control/config-delta.js';
import type { SharedResult } from '../health/health-sharing.js';
import { expiredLease, applyGrant, type Lease } from './lease.js';
import type {
  AcknowledgeMessage,
  BalancerToControlMessage,
  ControlToBalancerMessage,
  HeartbeatMessage,
} from './link-messages.js';
import { isSamePlan, placeInPlan, type LinkPlan } from './link-plan.js';
import { subtreeReport, type SubtreeReports } from './subtree-report.js';

/** Time before a link is opened after one failed, in milliseconds. */
const RECONNECT_DELAY_MS = 200;
/** Time between two requests to extend the lease, in milliseconds; five fall into one lease. */
const RENEW_INTERVAL_MS = 2_000;
/** A link that brings nothing for this time is given up, in milliseconds. */
const SILENCE_LIMIT_MS = 3_000;
/** The same for a link that has brought nothing yet. */
const FIRST_SILENCE_LIMIT_MS = 1_500;
/** The same while there is no configuration yet. */
const JOIN_SILENCE_LIMIT_MS = 300;
/** A link that extends no lease for this time is given up for another candidate, in milliseconds. */
const NO_LEASE_LIMIT_MS = 6_000;
/** How long a leader whose link failed is not tried again, in milliseconds. */
const LEADER_RETRY_INTERVAL_MS = 5_000;
/** Time until a better candidate is tried again, in milliseconds. */
const PREFERRED_RETRY_INTERVAL_MS = 30_000;
/** The same at a candidate that has extended no lease yet. */
const NO_LEASE_RETRY_INTERVAL_MS = 1_500;
/** How long reports from below are gathered before they are passed on, in milliseconds. */
const GATHER_MS = 200;

/** Options of a subscription. */
interface SubscriptionOptions {
  readonly controlAddresses: readonly Address[];
  readonly clusterKey: string;
  readonly balancerId: string;
  readonly zone: string;
}

/** The state of a subscription. */
export interface SubscriptionState {
  readonly options: SubscriptionOptions;
  plan: LinkPlan;
  /** Place in the plan of the link in use or tried next; wraps around. */
  cursor: number;
  /** Places of the candidates that have failed since the lease was last extended, or all had. */
  readonly failed: Set<number>;
  /** Number of the link in use or being opened; messages of an earlier link are ignored. */
  linkId: number;
  linked: boolean;
  /** The other end of the link in use or being opened. */
  address: Address | undefined;
  reconnectAtMs: number;
  preferredRetryAtMs: number;
  /** How often a better candidate was tried again. */
  preferredTries: number;
  /** The place of the candidate that worked, while a better one is tried again. */
  returnTo: number | undefined;
  sentAtMs: number;
  /** Versions of the reports from below that were sent last, see `SubtreeReports`. */
  sentMembersVersion: number;
  sentIndexVersion: number;
  /** How many balancers below were in the last report. */
  sentMemberCount: number;
  /** True where the other end does not know them all. */
  mustSendMembers: boolean;
  /** Where the leader is, as a machine that does not lead told. */
  leader: Address | undefined;
  /** The leader whose link failed last, and until when it is not tried again. */
  failedLeader: { readonly address: Address; readonly untilMs: number } | undefined;
  /** The highest committed position that was heard of. */
  committed: ConfigPosition;
  /** When a message last came, or the link was opened. */
  receivedAtMs: number;
  /** True once a message has come over the link. */
  hasAnswered: boolean;
  /** When the lease was last extended, or the link was opened. */
  extendedAtMs: number;
  /** True once the lease has been extended over the link. */
  hasExtended: boolean;
  readonly lease: Lease;
  /** True where the link was refused: this balancer belongs to another cluster. */
  refused: boolean;
}

/** What a balancer reports upwards. */
export interface ReportSource {
  /** The position in force. */
  readonly position: ConfigPosition;
  /** What is in force at balancers that are linked to this one. */
  readonly reports?: SubtreeReports;
}

/** What a subscription asks of its surroundings. */
export type SubscriptionEffect =
  | { readonly type: 'link-open'; readonly linkId: number; readonly address: Address }
  | {
      readonly type: 'link-send';
      readonly linkId: number;
      readonly message: BalancerToControlMessage;
    };

/** What a message from above leads to. */
interface SubscriptionReaction {
  /** An update that the balancer should apply before the effects are performed. */
  readonly update?: ConfigUpdate;
  /** What another balancer knows of back ends. */
  readonly results?: readonly SharedResult[];
  readonly effects: SubscriptionEffect[];
}

/**
 * @returns a subscription that links at its first tick
 */
export function createSubscription(options: SubscriptionOptions): SubscriptionState {
  const { controlAddresses } = options;
  return {
    options,
    plan: {
      candidates: controlAddresses,
      preferredCount: controlAddresses.length,
      isRelay: true,
    },
    cursor: 0,
    failed: new Set(),
    linkId: 0,
    linked: false,
    address: undefined,
    reconnectAtMs: 0,
    preferredRetryAtMs: 0,
    sentAtMs: 0,
    sentMembersVersion: 0,
    sentIndexVersion: 0,
    sentMemberCount: 0,
    mustSendMembers: false,
    returnTo: undefined,
    preferredTries: 0,
    leader: undefined,
    failedLeader: undefined,
    committed: { term: 0, index: 0 },
    receivedAtMs: 0,
    hasAnswered: false,
    extendedAtMs: 0,
    hasExtended: false,
    lease: expiredLease(),
    refused: false,
  };
}

/**
 * Takes new candidates. A link that is still as good as any stays.
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
 * Opens a link where none stands and it is time; gives up a useless one; reports and asks to extend
 * the lease.
 */
export function subscriptionTick(
  state: SubscriptionState,
  source: ReportSource,
  nowMs: number,
): SubscriptionEffect[] {
  if (state.linked && isLinkUseless(state, source, nowMs)) {
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
 * The link stands: subscribes from the position in force.
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
 * The link is closed: the next candidate is tried a little later.
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
 * After a failure comes the best candidate that has not failed in this turn; once all have, a new turn
 * begins.
 */
function nextPlace({ plan, failed }: SubscriptionState): number {
  const next = plan.candidates.findIndex((_, place) => !failed.has(place));
  if (next < 0) {
    failed.clear();
  }
  return Math.max(0, next);
}

/**
 * Takes a message from above.
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
      state.reconnectAtMs = nowMs + LEADER_RETRY_INTERVAL_MS;
      return { effects: [] };
    })
    .exhaustive();
}

/**
 * @returns the message that tells what is in force, and asks for a lease
 */
export function acknowledge(
  state: SubscriptionState,
  source: ReportSource,
  nowMs: number,
): SubscriptionEffect[] {
  if (!state.linked) {
    return [];
  }
  const message: AcknowledgeMessage = {
    type: 'acknowledge',
    ...upwardReport(state, source, nowMs),
  };
  return [{ type: 'link-send', linkId: state.linkId, message }];
}

function subscribeEffect(
  state: SubscriptionState,
  source: ReportSource,
  nowMs: number,
): SubscriptionEffect {
  const { clusterKey, balancerId, zone } = state.options;
  const report = upwardReport(state, source, nowMs);
  return {
    type: 'link-send',
    linkId: state.linkId,
    message: { type: 'subscribe', clusterKey, balancerId, zone, ...report },
  };
}

function upwardReport(state: SubscriptionState, source: ReportSource, nowMs: number) {
  const { position, reports } = source;
  state.sentAtMs = nowMs;
  const withMembers = state.mustSendMembers || reports?.membersVersion !== state.sentMembersVersion;
  const subtree = reports && subtreeReport(reports, withMembers);
  if (reports !== undefined) {
    state.sentMembersVersion = reports.membersVersion;
    state.sentIndexVersion = reports.indexVersion;
    state.sentMemberCount = subtree?.members?.length ?? state.sentMemberCount;
    state.mustSendMembers = false;
  }
  return { position, sentAtMs: nowMs, ...(subtree && { subtree }) };
}

function isReportDue(state: SubscriptionState, { reports }: ReportSource, nowMs: number): boolean {
  const hasNews =
    reports !== undefined &&
    (reports.membersVersion !== state.sentMembersVersion ||
      reports.indexVersion !== state.sentIndexVersion);
  return nowMs - state.sentAtMs >= (hasNews ? GATHER_MS : RENEW_INTERVAL_MS);
}

function isLinkUseless(
  state: SubscriptionState,
  { position }: ReportSource,
  nowMs: number,
): boolean {
  const isFirst = position.index === 0;
  const firstLimitMs = isFirst ? JOIN_SILENCE_LIMIT_MS : FIRST_SILENCE_LIMIT_MS;
  const silenceLimitMs = state.hasAnswered ? SILENCE_LIMIT_MS : firstLimitMs;
  const hasOthers = state.plan.candidates.length > 1;
  return (
    nowMs - state.receivedAtMs > silenceLimitMs ||
    (hasOthers && nowMs - state.extendedAtMs > NO_LEASE_LIMIT_MS)
  );
}

function shouldRetryPreferred(state: SubscriptionState, nowMs: number): boolean {
  const { plan, cursor, preferredRetryAtMs, hasExtended, extendedAtMs } = state;
  const isPreferred = cursor < plan.preferredCount;
  const dueAtMs = hasExtended ? preferredRetryAtMs : extendedAtMs + NO_LEASE_RETRY_INTERVAL_MS;
  return !isPreferred && plan.preferredCount > 0 && nowMs >= dueAtMs;
}

/** Tries one of the better candidates; where it does not work, the one that does is taken again. */
function retryPreferred(state: SubscriptionState, nowMs: number): SubscriptionEffect[] {
  state.returnTo = state.cursor;
  state.leader = undefined;
  state.cursor = state.preferredTries % state.plan.preferredCount;
  state.preferredTries += 1;
  return openLink(state, nowMs);
}

function openLink(state: SubscriptionState, nowMs: number): SubscriptionEffect[] {
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

/** Only a leader extends leases, so a balancer links to it where it can. */
function shouldMoveTo(state: SubscriptionState, leader: Address, nowMs: number): boolean {
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
