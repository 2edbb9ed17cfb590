/**
 * @file How loads travel through a control machine: the sums of its balancers to the other control
 * machines, and to each balancer what all others carry.
 */
import { isBehind, isBusy } from './balancer-feed.js';
import type { GroupEffect } from './group-events.js';
import { isCurrent, otherMembers, type GroupState } from './group-state.js';

/**
 * Tells the other control machines what passes the balancers that are fed here.
 */
export function shareLoadSums(state: GroupState, nowMs: number): GroupEffect[] {
  state.loads.forgetSilentSenders(nowMs);
  const { sumsOutlet } = state;
  if (sumsOutlet.isWaiting(nowMs)) {
    return [];
  }
  const loads = state.loads.ownSums();
  if (!sumsOutlet.offer(loads, nowMs)) {
    return [];
  }
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
  const { version } = state.loads;
  const effects: GroupEffect[] = [];
  for (const [linkId, subscriber] of state.subscribers) {
    const { phase, loadsOutlet } = subscriber;
    const isTold = phase === 'new' || subscriber.loadsVersion === version;
    if (isTold || isBusy(subscriber) || loadsOutlet.isWaiting(nowMs)) {
      continue;
    }
    subscriber.loadsVersion = version;
    const isComplete = !isBehind(state, subscriber);
    const loads = state.loads.othersOf(linkId);
    if (loadsOutlet.offer(loads, nowMs)) {
      subscriber.nextPulseAtMs = nowMs + state.options.timing.feedPulseIntervalMs;
      effects.push({
        type: 'send-feed',
        linkId,
        message: { type: 'feed', isCurrent: current, isComplete, isCounted: false, loads },
      });
    }
  }
  return effects;
}
