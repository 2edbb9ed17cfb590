/**
 * @file What an ingress forgets once a second: flows at rest, back ends whose flows are over, and the fleet's load where
 * the feed has not been current for a while.
 */
import type { IngressState } from './ingress-state.js';
import type { LivenessTransition } from './liveness-log.js';

/**
 * The fleet's load counts until the feed has not been current for so long: four reports that come twice a second. Not
 * measured; too long if zones get flows by loads that are over, while `feedAgeMs` is high.
 */
const FLEET_LOAD_LIFETIME_MS = 2_000;

/** @returns back ends whose liveness has changed since the last sweep */
export function ingressSweep(state: IngressState, nowMs: number): LivenessTransition[] {
  const { activities, backends, feedStatus, livenessLog, options } = state;
  activities.sweep(nowMs);
  backends.forget(nowMs, options.flowLifetimeMs);
  if (nowMs - (feedStatus.currentAtMs ?? nowMs) > FLEET_LOAD_LIFETIME_MS) {
    backends.applyFleetLoads([]);
    backends.applyFleetAnswerStats([]);
  }
  return livenessLog.transitions(backends.all());
}
