/**
 * @file How loads travel through a control machine: the sums of its balancers to the other control
 * machines, and to each balancer what all others carry.
 */
import { isBehind, isBusy } from './balancer-feed.js';
import type { LinkId } from '../../shared/common/link-table.js';
import { formatAddress } from '../../shared/common/address.js';
import { rowsToSend } from '../load-exchange/load-outlet.js';
import type { LoadTotals } from '../load-exchange/load-totals.js';
import type { PackedRows } from '../load-exchange/packed-rows.js';
import type { GroupEffect } from './group-events.js';
import type { LoadReportMessage, PeerMessage } from './group-messages.js';
import { isCurrent, otherMembers, type GroupState, type PublishedTable } from './group-state.js';

type LoadSumsMessage = Extract<PeerMessage, { readonly type: 'load-sums' }>;

/**
 * Takes what passes a balancer that is fed here.
 */
export function applyLoadReport(
  state: GroupState,
  linkId: LinkId,
  { loads, signals }: LoadReportMessage,
): void {
  if (loads !== undefined) {
    state.loads.applyReport(linkId, loads);
  }
  if (signals !== undefined) {
    state.signals.applyReport(linkId, signals);
  }
}

/**
 * Takes what passes the balancers of another control machine.
 */
export function applyLoadSums(
  state: GroupState,
  { sender, loads, signals }: LoadSumsMessage,
  nowMs: number,
): void {
  const from = formatAddress(sender);
  if (loads !== undefined) {
    state.loads.applySums(from, loads, nowMs);
  }
  if (signals !== undefined) {
    state.signals.applySums(from, signals, nowMs);
  }
}

/**
 * Tells the other control machines what passes the balancers that are fed here.
 */
export function shareLoadSums(state: GroupState, nowMs: number): GroupEffect[] {
  state.loads.forgetSilentSenders(nowMs);
  state.signals.forgetSilentSenders(nowMs);
  const loads = rowsToSend(state.sumsOutlet, () => state.loads.ownSums(), nowMs);
  const signals = rowsToSend(state.signalSumsOutlet, () => state.signals.ownSums(), nowMs);
  if (loads === undefined && signals === undefined) {
    return [];
  }
  const sender = state.options.linkAddress;
  const tables = { ...(loads && { loads }), ...(signals && { signals }) };
  return otherMembers(state).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message: { type: 'load-sums', sender, ...tables },
  }));
}

/**
 * Tells each balancer that is fed here what passes all others.
 */
export function publishLoads(state: GroupState, nowMs: number): GroupEffect[] {
  const current = isCurrent(state, nowMs);
  const effects: GroupEffect[] = [];
  for (const [linkId, subscriber] of state.subscribers) {
    if (subscriber.phase === 'new' || isBusy(subscriber)) {
      continue;
    }
    const loads = fleetRowsFor(linkId, subscriber.loads, state.loads, nowMs);
    const signals = fleetRowsFor(linkId, subscriber.signals, state.signals, nowMs);
    if (loads === undefined && signals === undefined) {
      continue;
    }
    subscriber.nextPulseAtMs = nowMs + state.options.timing.feedPulseIntervalMs;
    effects.push({
      type: 'send-feed',
      linkId,
      message: {
        type: 'feed',
        isCurrent: current,
        isComplete: !isBehind(state, subscriber),
        isCounted: false,
        ...(loads && { loads }),
        ...(signals && { signals }),
      },
    });
  }
  return effects;
}

/** @returns what all others have of a table, where that has changed and may be told */
function fleetRowsFor(
  linkId: LinkId,
  told: PublishedTable,
  totals: LoadTotals,
  nowMs: number,
): PackedRows | undefined {
  if (told.version === totals.version || told.outlet.isWaiting(nowMs)) {
    return undefined;
  }
  told.version = totals.version;
  return rowsToSend(told.outlet, () => totals.fleetSumsFor(linkId), nowMs);
}
