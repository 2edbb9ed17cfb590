/**
 * @file What does a balancer report upwards, and when? Its own position and, in short, what is in force on the balancers
 * below it (`subtree-report.ts`). Their names travel only where they have changed or the other end does not know them all.
 * Each report also asks to extend the lease, counted from when it was sent. Owns the versions of the last report.
 */
import type { ConfigPosition } from '../control/config-delta.js';
import type { AcknowledgeMessage } from './link-messages.js';
import type { SubtreeReports } from './subtree-report.js';
import { subtreeReport } from './subtree-summary.js';
import type { SubscriptionEffect, SubscriptionState } from './subscription-state.js';

/** Time between two requests to extend the lease, in milliseconds; five fall into one lease. */
const RENEW_INTERVAL_MS = 2_000;
/**
 * How long changes below are gathered before they are reported, in milliseconds. Not measured; it delays what is
 * shown as in force.
 */
const GATHER_MS = 200;

/** What a balancer reports upwards. */
export interface ReportSource {
  /** The position in force. */
  readonly position: ConfigPosition;
  /** What is in force at balancers that are linked to this one. */
  readonly reports?: SubtreeReports;
}

/**
 * @returns the message that reports what is in force and asks for a lease; nothing without a link
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

/**
 * @returns the message that asks for the configuration from the position in force on, and for a lease
 */
export function subscribeEffect(
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

/**
 * @returns true where it is time to report: changes after the time for gathering, and in any case to extend the lease
 */
export function isReportDue(
  state: SubscriptionState,
  { reports }: ReportSource,
  nowMs: number,
): boolean {
  const hasChanges =
    reports !== undefined &&
    (reports.membersVersion !== state.sentMembersVersion ||
      reports.indexVersion !== state.sentIndexVersion);
  return nowMs - state.sentAtMs >= (hasChanges ? GATHER_MS : RENEW_INTERVAL_MS);
}
