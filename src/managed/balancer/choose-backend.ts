/**
 * @file Which back end gets the next attempt of an open? The placement policy of the service chooses among the
 * candidates, without those that the open was tried on and those that hold as many connections as the service allows
 * each.
 *
 * Inputs: the pending open, the candidates (`candidates.ts`), the connection limit of the service
 * (`limits/backend-limits.ts`) and how many balancers share the traffic. Returns undefined where no candidate is
 * left; the open is then refused.
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
 * @returns the back end for the next attempt of an open, or undefined where none is left
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

/** One instance of each policy per balancer, since a policy keeps what it derives from a list of candidates. */
function policyFor(state: BalancerState, name: PlacementPolicyName): PlacementPolicy {
  const existing = state.policies.get(name);
  if (existing !== undefined) {
    return existing;
  }
  const policy = createPolicy(name);
  state.policies.set(name, policy);
  return policy;
}
