/**
 * @file What is in force on the balancers, as one operator may see it: counted in the operator's own revisions, so that it
 * reveals nothing of another operator's changes.
 */
import { revisionAt, serviceVersionAt } from '../audit.js';
import type { OwnerState } from '../cluster-state.js';
import type { Service } from '../routing-config.js';

/** What one balancer has in force. */
export interface BalancerInForce {
  readonly balancerId: string;
  readonly zone: string;
  /** Log index of the configuration that is in force there. */
  readonly index: number;
}

/** What is known of all balancers; given by the dissemination. */
export interface InForceView {
  readonly balancers: readonly BalancerInForce[];
  /** False while there may be balancers that have not reported, such as just after an election. */
  readonly isComplete: boolean;
}

/** A balancer that lacks changes of the operator. */
export interface LaggingBalancer {
  readonly balancerId: string;
  readonly zone: string;
  /** The operator's revision that is in force there. */
  readonly revision: number;
}

/** How far the operator's changes are in force. */
export interface InForceSummary {
  readonly committedRevision: number;
  /** In force on every balancer. */
  readonly revisionInForceEverywhere: number;
  /** False while there may be balancers that have not reported; what is in force may then be less. */
  readonly isComplete: boolean;
  readonly balancerCount: number;
  readonly lagging: readonly LaggingBalancer[];
}

/**
 * @returns how far the operator's changes are in force
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
 * @returns the balancers on which the operator's revision is not in force, by name
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
 * @returns the version of the service that is in force on every balancer; 0 before its definition
 */
export function versionInForceEverywhere(
  owner: OwnerState,
  service: Service,
  view: InForceView,
): number {
  const versions = view.balancers.map(({ index }) => serviceVersionAt(owner, service, index));
  return Math.min(service.version, ...versions);
}
