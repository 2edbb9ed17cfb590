/**
 * @file How loads travel through a control machine: the sums of its balancers to the other control
 * machines, and to each balancer what all others carry.
 */
import { isBehind, isBusy } from './balancer-feed.js';
import type { LinkId } from '../common/link-table.js';
import { formatAddress } from '../common/address.js';
import type { LoadOutlet } from '../load-exchange/load-outlet.js';
import type { PackedRows } from '../load-exchange/packed-rows.js';
import type { GroupEffect } from './group-events.js';
import type { LoadReportMessage, PeerMessage } from './group-messages.js';
import { isCurrent, otherMembers, type GroupState } from './group-state.js';

type LoadSumsMessage = Extract<PeerMessage, { readonly type: 'load-sums' }>;

/**
 * Takes what passes a balancer that is fed here.
 */
export function takeLoadReport(
  state: GroupState,
  linkId: LinkId,
  { loads, signals }: LoadReportMessage,
): void {
  state.loads.takeReport(linkId, loads);
  if (signals !== undefined) {
    state.signals.takeReport(linkId, signals);
  }
}

/**
 * Takes what passes the balancers of another control machine.
 */
export function takeLoadSums(
  state: GroupState,
  { sender, loads, signals }: LoadSumsMessage,
  nowMs: number,
): void {
  const from = formatAddress(sender);
  state.loads.takeSums(from, loads, nowMs);
  if (signals !== undefined) {
    state.signals.takeSums(from, signals, nowMs);
  }
}

/**
 * Tells the other control machines what passes the balancers that are fed here.
 */
export function shareLoadSums(state: GroupState, nowMs: number): GroupEffect[] {
  state.loads.forgetSilentSenders(nowMs);
  state.signals.forgetSilentSenders(nowMs);
  const { sumsOutlet, signalSumsOutlet } = state;
  if (sumsOutlet.isWaiting(nowMs)) {
    return [];
  }
  const loads = state.loads.ownSums();
  const signals = offered(signalSumsOutlet, () => state.signals.ownSums(), nowMs);
  if (!sumsOutlet.offer(loads, nowMs) && signals === undefined) {
    return [];
  }
  const sender = state.options.linkAddress;
  return otherMembers(state).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message: { type: 'load-sums', sender, loads, ...(signals && { signals }) },
  }));
}

/**
 * Tells each balancer that is fed here what passes all others.
 */
export function feedLoads(state: GroupState, nowMs: number): GroupEffect[] {
  const current = isCurrent(state, nowMs);
  const version = state.loads.version + state.signals.version;
  const effects: GroupEffect[] = [];
  for (const [linkId, subscriber] of state.subscribers) {
    const { phase, loadsOutlet, signalsOutlet } = subscriber;
    const isTold = phase === 'new' || subscriber.loadsVersion === version;
    if (isTold || isBusy(subscriber) || loadsOutlet.isWaiting(nowMs)) {
      continue;
    }
    const loads = state.loads.othersOf(linkId);
    const signals = offered(signalsOutlet, () => state.signals.othersOf(linkId), nowMs);
    // Signals that must wait are looked at again with the next turn.
    subscriber.loadsVersion = signalsOutlet.isWaiting(nowMs) && !signals ? -1 : version;
    if (loadsOutlet.offer(loads, nowMs) || signals !== undefined) {
      subscriber.nextPulseAtMs = nowMs + state.options.timing.feedPulseIntervalMs;
      effects.push({
        type: 'send-feed',
        linkId,
        message: {
          type: 'feed',
          isCurrent: current,
          isComplete: !isBehind(state, subscriber),
          isCounted: false,
          loads,
          ...(signals && { signals }),
        },
      });
    }
  }
  return effects;
}

/** @returns a table whose time has come, undefined where it has not, or where it says what it said before */
function offered(
  outlet: LoadOutlet,
  make: () => PackedRows,
  nowMs: number,
): PackedRows | undefined {
  if (outlet.isWaiting(nowMs)) {
    return undefined;
  }
  const rows = make();
  return outlet.offer(rows, nowMs) ? rows : undefined;
}
