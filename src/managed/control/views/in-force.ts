/**
 * @file Rollout status of an operator's changes. Expressed in the operator's own revisions instead of log indexes, which
 * would reveal the changes of other operators.
 */
import { revisionAt, serviceVersionAt } from '../audit.js';
import type { OwnerState } from '../cluster-state.js';
import type { Service } from '../routing-config.js';

/** The configuration that is in force on one balancer. */
export interface BalancerInForce {
  readonly balancerId: string;
  readonly zone: string;
  /** Log index of the configuration. */
  readonly index: number;
}

/** The configurations in force on all balancers, as reported to the publisher. */
export interface InForceView {
  readonly balancers: readonly BalancerInForce[];
  /** False if some balancers may not have reported yet, such as just after an election. */
  readonly isComplete: boolean;
}

/** A balancer on which some changes of the operator are not in force. */
export interface LaggingBalancer {
  readonly balancerId: string;
  readonly zone: string;
  /** The operator's revision that is in force on the balancer. */
  readonly revision: number;
}

/** Rollout status of an operator's changes. */
export interface InForceSummary {
  readonly committedRevision: number;
  /** Highest revision that is in force on every balancer. */
  readonly revisionInForceEverywhere: number;
  /** False if some balancers may not have reported yet; the actual revision in force may then be lower. */
  readonly isComplete: boolean;
  readonly balancerCount: number;
  readonly lagging: readonly LaggingBalancer[];
}

/**
 * @returns the rollout status of the operator's changes
 */
export function summarizeInForce(owner: OwnerState, view: InForceView): InForceSummary {
  const lagging = laggingBalancers(owner, owner.revision, view);
  return {
    committedRevision: owner.revision,
    revisionInForceEverywhere: Math.min(owner.revision, ...lagging.map(({ revision }) => revision)),
    isComplete: view.isComplete,
    balancerCount: view.balancers.length,
    lagging,
  };
}

/**
 * @returns the balancers on which the operator's revision is not in force, sorted by ID
 */
export function laggingBalancers(
  owner: OwnerState,
  revision: number,
  view: InForceView,
): LaggingBalancer[] {
  return view.balancers
    .map(({ balancerId, zone, index }) => ({
      balancerId,
      zone,
      revision: revisionAt(owner, index),
    }))
    .filter((balancer) => balancer.revision < revision)
    .sort((one, other) => (one.balancerId < other.balancerId ? -1 : 1));
}

/**
 * @returns the highest version of the service that is in force on every balancer; 0 if the definition is not
 */
export function versionInForceEverywhere(
  owner: OwnerState,
  service: Service,
  view: InForceView,
): number {
  const versions = view.balancers.map(({ index }) => serviceVersionAt(owner, service, index));
  return Math.min(service.version, ...versions);
}
