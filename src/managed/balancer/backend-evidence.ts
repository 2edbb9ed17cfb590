/**
 * @file Records what a balancer observes of a back end, by probes and by its own opens, in the judgement (`health`),
 * in the load estimate (`routing/load-estimate.ts`) and in the group of its service. Placement reads what stands
 * there.
 *
 * This module is the only one that changes `pendingOpens`, `health` and `estimate` of a `BackendView`.
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

/** Weight of the newest report in the typical use of a service's back ends. Not measured. */
const TYPICAL_USE_GAIN = 0.1;

/**
 * Records the result of a health probe, own or shared.
 */
export function recordProbe(state: BalancerState, result: ProbeResult, context: StepContext): void {
  const view = state.views.get(result.backendId);
  if (view === undefined) {
    return;
  }
  const group = groupOf(state, view.backend.serviceId, context.nowMs);
  resetEstimateOnRestart(view, result.health?.incarnation);
  const distrustBefore = view.judgement.trust.distrust;
  const change = updateOnProbe(view.judgement, result, group.judgements, context.nowMs);
  view.health = view.judgement.health;
  recordTransition(state, group, view, change);
  if (distrustBefore === undefined && view.judgement.trust.distrust !== undefined) {
    raiseToMean(view, group);
  }
  recordLoad(view, result, group, context);
}

/**
 * Records that an open was sent to the back end.
 */
export function recordAttempt(state: BalancerState, view: BackendView, context: StepContext): void {
  view.pendingOpens += 1;
  recordSentOpen(view.estimate, balancersSendingTo(state, view), context.nowMs);
}

/**
 * Records how an open sent to the back end ended.
 * @param incarnation the back end's present incarnation, where its answer carried one
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
 * @returns why the back end is in its judged state, or undefined where it is not known
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
  const known = view.health?.incarnation;
  if (known !== undefined && incarnation !== undefined && known !== incarnation) {
    resetEstimate(view.estimate);
  }
}

/**
 * Reports that are no longer believed may have drawn the estimate too low; it is raised to the mean of the service.
 */
function raiseToMean({ estimate }: BackendView, { views }: ServiceGroup): void {
  const uses = views.map(({ estimate: one }) => one.connections / one.connectionLimit);
  const meanUse = uses.reduce((sum, use) => sum + use, 0) / Math.max(1, uses.length);
  estimate.connections = Math.max(estimate.connections, meanUse * estimate.connectionLimit);
}

/** A report that is not believed is replaced by the typical use of the service. */
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
    group.typicalUse += TYPICAL_USE_GAIN * (load.connections / limit - group.typicalUse);
    recordLoadReport(view.estimate, load, nowMs);
  } else {
    const connections = group.typicalUse * limit;
    recordLoadReport(view.estimate, { ...load, connections, queuedRequests: 0 }, nowMs);
  }
}

/** The balancers that send flows to this back end as this one does: those of the zone for a local back end. */
function balancersSendingTo({ options, fleet }: BalancerState, { backend }: BackendView): number {
  return backend.zone === options.zone ? fleet.localBalancerCount : fleet.balancerCount;
}
