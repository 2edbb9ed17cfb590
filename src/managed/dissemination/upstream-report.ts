/**
 * @file Builds a balancer's reports to upstream: its own position, a summary of its subtree and a lease request. The
 * subtree's members are listed only if they have changed or upstream does not know them all.
 */
import type { ConfigPosition } from '../control/config-delta.js';
import type { AcknowledgeMessage } from './link-messages.js';
import type { SubtreeReports } from './subtree-report.js';
import { buildSubtreeReport } from './subtree-summary.js';
import type { SubscriptionEffect, SubscriptionState } from './subscription-state.js';

/** Time between two lease requests; a fifth of the lease duration. */
const LEASE_RENEW_INTERVAL_MS = 2_000;
/** How long changes in the subtree are batched before they are reported. */
const REPORT_BATCH_DELAY_MS = 200;

/** The data of a report to upstream. */
export interface ReportSource {
  /** The position in force. */
  readonly position: ConfigPosition;
  /** The reports of downstream balancers. */
  readonly reports?: SubtreeReports;
}

/**
 * @returns the effect that sends an acknowledgement and lease request; empty without a link
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
    ...buildUpstreamReport(state, source, nowMs),
  };
  return [{ type: 'link-send', linkId: state.linkId, message }];
}

/**
 * @returns the effect that subscribes from the position in force and requests a lease
 */
export function subscribeEffect(
  state: SubscriptionState,
  source: ReportSource,
  nowMs: number,
): SubscriptionEffect {
  const { clusterKey, balancerId, zone } = state.options;
  const report = buildUpstreamReport(state, source, nowMs);
  return {
    type: 'link-send',
    linkId: state.linkId,
    message: { type: 'subscribe', clusterKey, balancerId, zone, ...report },
  };
}

function buildUpstreamReport(state: SubscriptionState, source: ReportSource, nowMs: number) {
  const { position, reports } = source;
  state.sentAtMs = nowMs;
  const withMembers = state.mustSendMembers || reports?.membersVersion !== state.sentMembersVersion;
  const subtree = reports && buildSubtreeReport(reports, withMembers);
  if (reports !== undefined) {
    state.sentMembersVersion = reports.membersVersion;
    state.sentIndexesVersion = reports.indexesVersion;
    state.sentMemberCount = subtree?.members?.length ?? state.sentMemberCount;
    state.mustSendMembers = false;
  }
  return { position, sentAtMs: nowMs, ...(subtree && { subtree }) };
}

/**
 * @returns true if a report is due: after the batch delay if the subtree has changed, else to renew the lease
 */
export function isReportDue(
  state: SubscriptionState,
  { reports }: ReportSource,
  nowMs: number,
): boolean {
  const hasChanges =
    reports !== undefined &&
    (reports.membersVersion !== state.sentMembersVersion ||
      reports.indexesVersion !== state.sentIndexesVersion);
  return nowMs - state.sentAtMs >= (hasChanges ? REPORT_BATCH_DELAY_MS : LEASE_RENEW_INTERVAL_MS);
}
