/**
 * @file Which back ends may receive a new flow, and the choice among them by the service's policy.
 */
import type { StepContext } from '../common/step.js';
import type { ProbeResult } from '../health/backend-report.js';
import type { PlacementCandidate } from '../routing/placement-policy.js';
import {
  isBackendUsable,
  policyFor,
  type BackendView,
  type BalancerState,
  type PendingOpen,
} from './balancer-state.js';

/**
 * @returns the back end for the next attempt of an open, or undefined where none is ready
 */
export function chooseBackend(
  state: BalancerState,
  open: PendingOpen,
  context: StepContext,
): BackendView | undefined {
  const candidates: PlacementCandidate[] = [];
  for (const view of state.views.values()) {
    if (isCandidate(view, open) && isBackendUsable(state, view, context.nowMs)) {
      candidates.push(toCandidate(view));
    }
  }
  if (candidates.length === 0) {
    return undefined;
  }
  const request = { flowId: open.flowId, localZone: state.options.zone, balancerCount: 1 };
  const chosen = policyFor(state, open.service.policy).choose(candidates, request, context);
  return state.views.get(chosen.backendId);
}

/**
 * Takes the outcome of a health probe.
 */
export function recordProbe(state: BalancerState, result: ProbeResult, context: StepContext): void {
  const view = state.views.get(result.backendId);
  if (view === undefined) {
    return;
  }
  view.health = result.health;
  if (result.load !== undefined) {
    view.load = result.load;
    view.loadReceivedAtMs = context.nowMs;
    view.opensSinceReport = 0;
  }
}

/**
 * An attempt to open a flow there begins.
 */
export function recordAttempt(view: BackendView): void {
  view.pendingOpens += 1;
  view.opensSinceReport += 1;
}

/** How an attempt ended. */
export type AttemptOutcome = 'accepted' | 'refused' | 'timed-out';

/**
 * An attempt to open a flow there has ended.
 * @param incarnation the back end's present incarnation, where it told it
 */
export function recordAttemptEnd(
  view: BackendView,
  _outcome: AttemptOutcome,
  incarnation: number | undefined,
): void {
  view.pendingOpens = Math.max(0, view.pendingOpens - 1);
  if (view.health !== undefined && incarnation !== undefined) {
    view.health = { ...view.health, incarnation };
  }
}

function isCandidate(view: BackendView, open: PendingOpen): boolean {
  return (
    view.backend.serviceId === open.service.id &&
    view.backend.adminState === 'active' &&
    view.health?.state === 'ready' &&
    !open.triedBackendIds.includes(view.backend.id)
  );
}

function toCandidate(view: BackendView): PlacementCandidate {
  return {
    backendId: view.backend.id,
    zone: view.backend.zone,
    weight: 1,
    load: view.load,
    loadReceivedAtMs: view.loadReceivedAtMs,
    pendingOpens: view.pendingOpens,
    opensSinceReport: view.opensSinceReport,
  };
}
