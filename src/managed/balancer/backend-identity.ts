/**
 * @file May packets go to this back end's address? While the lease runs, always. Without a lease the address may belong
 * to another service by now, so only as long as the back end has itself confirmed a moment ago which one it is.
 *
 * Inputs: the lease, the time of the last confirmation and the time of the step, in milliseconds on the balancer's clock.
 * The rule itself and its constants stand in `dissemination/lease.ts`. This module owns `identityConfirmedAtMs`.
 */
import { mayUseBackend } from '../dissemination/lease.js';
import type { ProbeResult } from '../health/backend-report.js';
import type { BackendView } from './backend-view.js';
import type { BalancerState } from './balancer-state.js';

/**
 * Records which back end answered a probe. The answer holds from when the probe began, since it may have waited while
 * this process was paused.
 */
export function recordIdentity(
  state: BalancerState,
  { backendId, health }: ProbeResult,
  startedAtMs: number | undefined,
): void {
  const view = state.views.get(backendId);
  if (view === undefined || health?.backendId === undefined) {
    return;
  }
  view.identityConfirmedAtMs =
    health.backendId === backendId ? (startedAtMs ?? -Infinity) : -Infinity;
}

/**
 * @returns true where packets may be sent to the back end, see `mayUseBackend`
 */
export function isBackendUsable(state: BalancerState, view: BackendView, nowMs: number): boolean {
  return mayUseBackend(state.subscription.lease, view.identityConfirmedAtMs, nowMs);
}
