/**
 * @file How loads travel through a control machine: the sums of its balancers to the other control
 * machines, and to each balancer what all others carry. Both at most once in a period that follows from
 * the length of the list, and only where something has changed.
 */
import { isSameLoads } from '../load-exchange/backend-load.js';
import { exchangePeriodMs } from '../load-exchange/exchange-period.js';
import type { GroupEffect } from './group-events.js';
import { isCurrent, otherMembers, type GroupState, type Subscriber } from './group-state.js';

/** The other control machines are told unchanged sums again after this time. */
const SUMS_REFRESH_MS = 1_000;

/**
 * Tells the other control machines what passes the balancers that are fed here.
 */
export function shareLoadSums(state: GroupState, nowMs: number): GroupEffect[] {
  state.loads.forgetSilentSenders(nowMs);
  if (nowMs < state.nextSumsShareAtMs) {
    return [];
  }
  const loads = state.loads.ownSums();
  if (isSameLoads(loads, state.sharedSums) && nowMs < state.nextSumsRefreshAtMs) {
    return [];
  }
  state.sharedSums = loads;
  state.nextSumsShareAtMs = nowMs + exchangePeriodMs(loads);
  state.nextSumsRefreshAtMs = nowMs + SUMS_REFRESH_MS;
  const sender = state.options.linkAddress;
  return otherMembers(state).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message: { type: 'load-sums', sender, loads },
  }));
}

/**
 * Tells each balancer that is fed here what passes all others.
 */
export function feedLoads(state: GroupState, nowMs: number): GroupEffect[] {
  const current = isCurrent(state, nowMs);
  const effects: GroupEffect[] = [];
  for (const [linkId, subscriber] of state.subscribers) {
    if (!areLoadsDue(state, subscriber, nowMs)) {
      continue;
    }
    const loads = state.loads.othersOf(linkId);
    subscriber.loadsVersion = state.loads.version;
    if (!isSameLoads(loads, subscriber.loads)) {
      subscriber.loads = loads;
      subscriber.nextLoadsAtMs = nowMs + exchangePeriodMs(loads);
      subscriber.nextPulseAtMs = nowMs + state.options.timing.feedPulseIntervalMs;
      effects.push({
        type: 'send-feed',
        linkId,
        message: { type: 'feed', isCurrent: current, loads },
      });
    }
  }
  return effects;
}

function areLoadsDue(state: GroupState, subscriber: Subscriber, nowMs: number): boolean {
  return (
    subscriber.phase !== 'new' &&
    subscriber.loadsVersion !== state.loads.version &&
    nowMs >= subscriber.nextLoadsAtMs
  );
}
