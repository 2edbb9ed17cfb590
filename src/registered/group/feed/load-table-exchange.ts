/**
 * @file Exchanges load tables: sends the sums over the connected balancers to the other control machines, and to each
 * connected balancer the sums over all other balancers. load-exchange/table-throttle.ts limits the rate. In messages,
 * answer stats are called `signals`.
 */
import { formatAddress } from '../../../shared/common/address.js';
import type { LinkId } from '../../../shared/common/link-table.js';
import { rowsToSend } from '../../load-exchange/table-throttle.js';
import type { PackedRows } from '../../load-exchange/packed-rows.js';
import { isBehind, isWindowFull } from './feed-plan.js';
import type { GroupEffect } from '../group-events.js';
import type { LoadReportMessage, PeerMessage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { isCurrent, otherMembers } from '../leadership.js';
import type { ExchangedTable } from './load-tables.js';
import type { PublishedTable } from './subscribers.js';

type LoadTables = Pick<GroupState, 'loads' | 'answerStats'>;
type LoadSumsMessage = Extract<PeerMessage, { readonly type: 'load-sums' }>;

/** The tables in a message; a table that has not changed is absent. */
interface TableFields {
  readonly loads?: PackedRows;
  readonly signals?: PackedRows;
}

/**
 * Applies the report of a connected balancer.
 */
export function applyLoadReport(
  tables: LoadTables,
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
 * Applies the sums of another control machine.
 */
export function applyLoadSums(
  tables: LoadTables,
  { sender, loads, signals }: LoadSumsMessage,
  nowMs: number,
): void {
  const senderAddress = formatAddress(sender);
  if (loads !== undefined) {
    tables.loads.totals.applySums(senderAddress, loads, nowMs);
  }
  if (signals !== undefined) {
    tables.answerStats.totals.applySums(senderAddress, signals, nowMs);
  }
}

/**
 * Sends the sums over the connected balancers to the other control machines.
 */
export function shareLoadSums(
  state: LoadTables & Pick<GroupState, 'consensus' | 'options'>,
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

function sumsToShare({ totals, sumsThrottle }: ExchangedTable, nowMs: number) {
  return rowsToSend(sumsThrottle, () => totals.ownSums(), nowMs);
}

/**
 * Sends each connected balancer the sums over all other balancers.
 */
export function publishLoads(
  state: LoadTables & Pick<GroupState, 'configs' | 'consensus' | 'options' | 'subscribers'>,
  nowMs: number,
): GroupEffect[] {
  const current = isCurrent(state, nowMs);
  const effects: GroupEffect[] = [];
  for (const [linkId, subscriber] of state.subscribers) {
    if (subscriber.phase === 'new' || isWindowFull(subscriber)) {
      continue;
    }
    const fields = tableFields(
      fleetSumsToPublish(linkId, subscriber.loads, state.loads, nowMs),
      fleetSumsToPublish(linkId, subscriber.answerStats, state.answerStats, nowMs),
    );
    if (fields === undefined) {
      continue;
    }
    subscriber.nextKeepAliveAtMs = nowMs + state.options.timing.feedKeepAliveIntervalMs;
    const isComplete = !isBehind(state, subscriber);
    effects.push({
      type: 'send-feed',
      linkId,
      message: { type: 'feed', isCurrent: current, isComplete, isCounted: false, ...fields },
    });
  }
  return effects;
}

/** @returns the sums over all other balancers; undefined if they are unchanged or throttled */
function fleetSumsToPublish(
  linkId: LinkId,
  published: PublishedTable,
  { totals }: ExchangedTable,
  nowMs: number,
): PackedRows | undefined {
  if (published.version === totals.version || published.throttle.isThrottled(nowMs)) {
    return undefined;
  }
  published.version = totals.version;
  return rowsToSend(published.throttle, () => totals.fleetSumsExcept(linkId), nowMs);
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
