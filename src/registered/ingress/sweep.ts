/**
 * @file Periodic cleanup of an ingress: idle flows, expired back ends, and fleet load that is out of date.
 */
import type { IngressState } from './ingress-state.js';
import type { LivenessTransition } from './liveness-log.js';

/** Time without a current feed after which the fleet load is discarded; four load reports. */
const FLEET_LOAD_LIFETIME_MS = 2_000;

/** @returns the liveness changes since the last sweep */
export function sweepIngress(state: IngressState, nowMs: number): LivenessTransition[] {
  const { activities, backends, feedStatus, livenessLog, options } = state;
  activities.sweep(nowMs);
  backends.removeExpired(nowMs, options.flowLifetimeMs);
  if (nowMs - (feedStatus.lastCurrentAtMs ?? nowMs) > FLEET_LOAD_LIFETIME_MS) {
    backends.applyFleetLoads([]);
    backends.applyFleetAnswerStats([]);
  }
  return livenessLog.transitions(backends.all());
}
