/**
 * @file Tracks when each back end last confirmed its identity. Without a lease, a back end's address may have been
 * reassigned, so packets are sent there only after a recent confirmation (`dissemination/lease.ts`).
 */
import { mayUseBackend } from '../dissemination/lease.js';
import type { ProbeResult } from '../health/backend-report.js';
import type { BackendView } from './backend-view.js';
import type { BalancerState } from './balancer-state.js';

/**
 * Records which back end answered a probe. The confirmation counts from the start of the probe, because the response
 * may have been queued while this process was paused.
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
 * @returns true if packets may be sent to the back end, see `mayUseBackend`
 */
export function isBackendUsable(state: BalancerState, view: BackendView, nowMs: number): boolean {
  return mayUseBackend(state.subscription.lease, view.identityConfirmedAtMs, nowMs);
}
