/**
 * @file Updates a back end's judged health, load estimate and service group from probe results and open attempts. Only
 * this module changes `pendingOpens`, `health` and `estimate` of a `BackendView`.
 */
import type { StepContext } from '../../shared/common/step.js';
import type { ProbeResult } from '../health/backend-report.js';
import { explainJudgement, type BackendExplanation } from '../health/explanation.js';
import { updateOnOpenOutcome, updateOnProbe, type OpenOutcome } from '../health/judgement.js';
import {
  recordFailedOpen,
  recordSentOpen,
  recordLoadReport,
  resetEstimate,
} from '../routing/load-estimate.js';
import type { BackendView } from './backend-view.js';
import type { BalancerState } from './balancer-state.js';
import { groupOf, recordTransition } from './candidates.js';
import type { ServiceGroup } from './service-groups.js';

/** Weight of the newest report in the moving average of a service's connection utilization. */
const UTILIZATION_SMOOTHING_WEIGHT = 0.1;

/**
 * Records the result of a health probe by this balancer or another one.
 */
export function recordProbe(state: BalancerState, result: ProbeResult, context: StepContext): void {
  const view = state.views.get(result.backendId);
  if (view === undefined) {
    return;
  }
  const group = groupOf(state, view.backend.serviceId, context.nowMs);
  resetEstimateOnRestart(view, result.health?.incarnation);
  const previousDistrust = view.judgement.trust.distrust;
  const change = updateOnProbe(view.judgement, result, group.judgements, context.nowMs);
  view.health = view.judgement.health;
  recordTransition(state, group, view, change);
  if (previousDistrust === undefined && view.judgement.trust.distrust !== undefined) {
    raiseToMeanUtilization(view, group);
  }
  recordLoad(view, result, group, context);
}

/**
 * Records an open sent to the back end, as pending and in the load estimate.
 */
export function recordAttempt(state: BalancerState, view: BackendView, context: StepContext): void {
  view.pendingOpens += 1;
  recordSentOpen(view.estimate, balancersSendingTo(state, view), context.nowMs);
}

/**
 * Records the outcome of an open sent to the back end.
 * @param incarnation the back end's current incarnation, if its reply contained one
 */
export function recordAttemptEnd(
  state: BalancerState,
  view: BackendView,
  outcome: OpenOutcome,
  incarnation: number | undefined,
  context: StepContext,
): void {
  view.pendingOpens = Math.max(0, view.pendingOpens - 1);
  if (outcome !== 'accepted') {
    recordFailedOpen(view.estimate, balancersSendingTo(state, view), context.nowMs);
  }
  const group = groupOf(state, view.backend.serviceId, context.nowMs);
  resetEstimateOnRestart(view, incarnation);
  const { judgement } = view;
  const change = updateOnOpenOutcome(
    judgement,
    outcome,
    incarnation,
    group.judgements,
    context.nowMs,
  );
  view.health = judgement.health;
  recordTransition(state, group, view, change);
}

/**
 * @returns why the back end is in its judged state; undefined if the back end is not configured
 */
export function explainBackend(
  state: BalancerState,
  backendId: number,
  nowMs: number,
): BackendExplanation | undefined {
  const view = state.views.get(backendId);
  return view === undefined ? undefined : explainJudgement(backendId, view.judgement, nowMs);
}

function resetEstimateOnRestart(view: BackendView, incarnation: number | undefined): void {
  const previousIncarnation = view.health?.incarnation;
  if (
    previousIncarnation !== undefined &&
    incarnation !== undefined &&
    previousIncarnation !== incarnation
  ) {
    resetEstimate(view.estimate);
  }
}

/** Raises the estimate to the service's mean, as reports that are no longer trusted may have made it too low. */
function raiseToMeanUtilization({ estimate }: BackendView, { views }: ServiceGroup): void {
  const utilizations = views.map(
    ({ estimate: viewEstimate }) => viewEstimate.connections / viewEstimate.connectionLimit,
  );
  const meanUtilization =
    utilizations.reduce((sum, utilization) => sum + utilization, 0) /
    Math.max(1, utilizations.length);
  estimate.connections = Math.max(estimate.connections, meanUtilization * estimate.connectionLimit);
}

/** Replaces a report that is not trusted by the service's smoothed utilization. */
function recordLoad(
  view: BackendView,
  { load }: ProbeResult,
  group: ServiceGroup,
  { nowMs }: StepContext,
): void {
  if (load === undefined) {
    return;
  }
  const limit = Math.max(1, load.connectionLimit);
  if (view.judgement.trust.distrust === undefined) {
    group.smoothedUtilization +=
      UTILIZATION_SMOOTHING_WEIGHT * (load.connections / limit - group.smoothedUtilization);
    recordLoadReport(view.estimate, load, nowMs);
  } else {
    const connections = group.smoothedUtilization * limit;
    recordLoadReport(view.estimate, { ...load, connections, queuedRequests: 0 }, nowMs);
  }
}

/** Only balancers of the same zone share the traffic of a local back end; all balancers share that of others. */
function balancersSendingTo({ options, fleet }: BalancerState, { backend }: BackendView): number {
  return backend.zone === options.zone ? fleet.localBalancerCount : fleet.balancerCount;
}
