/**
 * @file Chooses the back end for an attempt of an open by the service's placement policy. Back ends that were already
 * tried or have reached their connection limit are excluded.
 */
import type { StepContext } from '../../shared/common/step.js';
import type { PlacementPolicyName } from '../control/routing-config.js';
import { fullBackendIds } from '../limits/backend-limits.js';
import type { PlacementPolicy, PlacementRequest } from '../routing/placement-policy.js';
import { createPolicy } from '../routing/policy-registry.js';
import type { BackendView } from './backend-view.js';
import type { BalancerState } from './balancer-state.js';
import { groupOf, usableCandidatesOf } from './candidates.js';
import type { PendingOpen } from './pending-open.js';

/**
 * @returns the back end for the next attempt of an open; undefined if no candidate remains
 */
export function chooseBackend(
  state: BalancerState,
  open: PendingOpen,
  context: StepContext,
): BackendView | undefined {
  const group = groupOf(state, open.service.id, context.nowMs);
  const candidates = usableCandidatesOf(state, group, context.nowMs);
  const request: PlacementRequest = {
    flowId: open.flowId,
    localZone: state.options.zone,
    balancerCount: state.fleet.balancerCount,
    localBalancerCount: state.fleet.localBalancerCount,
    triedBackendIds: [...open.triedBackendIds, ...fullBackendIds(candidates, open.service.limits)],
  };
  const chosen = policyFor(state, open.service.policy).choose(candidates, request, context);
  return chosen === undefined ? undefined : state.views.get(chosen.backend.id);
}

/** Each balancer has its own instance of a policy, which caches data for the candidate lists. */
function policyFor(state: BalancerState, name: PlacementPolicyName): PlacementPolicy {
  const existing = state.policies.get(name);
  if (existing !== undefined) {
    return existing;
  }
  const policy = createPolicy(name);
  state.policies.set(name, policy);
  return policy;
}
