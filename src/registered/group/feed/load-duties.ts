/**
 * @file How the tables of the load exchange travel through a control machine: the sums over its own balancers to the
 * other control machines, and to each balancer the sums over all other balancers. When a table is sent is decided in
 * load-exchange/table-throttle.ts. Messages call the answer stats `signals`.
 */
import { formatAddress } from '../../../shared/common/address.js';
import type { LinkId } from '../../../shared/common/link-table.js';
import { rowsToSend } from '../../load-exchange/table-throttle.js';
import type { PackedRows } from '../../load-exchange/packed-rows.js';
import { isBehind, isBusy } from './feed-plan.js';
import type { GroupEffect } from '../group-events.js';
import type { LoadReportMessage, PeerMessage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { isCurrent, otherMembers } from '../leadership.js';
import type { ExchangedTable } from './load-tables.js';
import type { PublishedTable } from './subscribers.js';

type Tables = Pick<GroupState, 'loads' | 'answerStats'>;
type LoadSumsMessage = Extract<PeerMessage, { readonly type: 'load-sums' }>;

/** The tables as messages carry them; absent where the last ones still hold. */
interface TableFields {
  readonly loads?: PackedRows;
  readonly signals?: PackedRows;
}

/**
 * Applies the report of a balancer that is fed here.
 */
export function applyLoadReport(
  tables: Tables,
  linkId: LinkId,
  { loads, signals }: LoadReportMessage,
): void {
  if (loads !== undefined) {
    tables.loads.totals.applyReport(linkId, loads);
  }
  if (signals !== undefined) {
    tables.answerStats.totals.applyReport(linkId, signals);
  }
}

/**
 * Applies the sums over the balancers of another control machine.
 */
export function applyLoadSums(
  tables: Tables,
  { sender, loads, signals }: LoadSumsMessage,
  nowMs: number,
): void {
  const from = formatAddress(sender);
  if (loads !== undefined) {
    tables.loads.totals.applySums(from, loads, nowMs);
  }
  if (signals !== undefined) {
    tables.answerStats.totals.applySums(from, signals, nowMs);
  }
}

/**
 * Sends the other control machines the sums over the balancers that are fed here.
 */
export function shareLoadSums(
  state: Tables & Pick<GroupState, 'consensus' | 'options'>,
  nowMs: number,
): GroupEffect[] {
  state.loads.totals.removeExpiredSums(nowMs);
  state.answerStats.totals.removeExpiredSums(nowMs);
  const fields = tableFields(
    sumsToShare(state.loads, nowMs),
    sumsToShare(state.answerStats, nowMs),
  );
  if (fields === undefined) {
    return [];
  }
  const sender = state.options.linkAddress;
  return otherMembers(state).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message: { type: 'load-sums', sender, ...fields },
  }));
}

function sumsToShare({ totals, sumsOutlet }: ExchangedTable, nowMs: number) {
  return rowsToSend(sumsOutlet, () => totals.ownSums(), nowMs);
}

/**
 * Sends each balancer that is fed here the sums over all others.
 */
export function publishLoads(
  state: Tables & Pick<GroupState, 'configs' | 'consensus' | 'options' | 'subscribers'>,
  nowMs: number,
): GroupEffect[] {
  const current = isCurrent(state, nowMs);
  const effects: GroupEffect[] = [];
  for (const [linkId, subscriber] of state.subscribers) {
    if (subscriber.phase === 'new' || isBusy(subscriber)) {
      continue;
    }
    const fields = tableFields(
      fleetSumsToPublish(linkId, subscriber.loads, state.loads, nowMs),
      fleetSumsToPublish(linkId, subscriber.answerStats, state.answerStats, nowMs),
    );
    if (fields === undefined) {
      continue;
    }
    subscriber.nextPulseAtMs = nowMs + state.options.timing.feedKeepaliveIntervalMs;
    const isComplete = !isBehind(state, subscriber);
    effects.push({
      type: 'send-feed',
      linkId,
      message: { type: 'feed', isCurrent: current, isComplete, isCounted: false, ...fields },
    });
  }
  return effects;
}

/** @returns the sums over all other balancers, where they have changed and may be sent */
function fleetSumsToPublish(
  linkId: LinkId,
  published: PublishedTable,
  { totals }: ExchangedTable,
  nowMs: number,
): PackedRows | undefined {
  if (published.version === totals.version || published.outlet.isThrottled(nowMs)) {
    return undefined;
  }
  published.version = totals.version;
  return rowsToSend(published.outlet, () => totals.fleetSumsExcept(linkId), nowMs);
}

function tableFields(
  loads: PackedRows | undefined,
  answerStats: PackedRows | undefined,
): TableFields | undefined {
  if (loads === undefined && answerStats === undefined) {
    return undefined;
  }
  return { ...(loads && { loads }), ...(answerStats && { signals: answerStats }) };
}
