/**
 * @file The interface of placement policies: which candidate receives a new flow. A policy sees the candidates with
 * their judgement and load estimate, and returns one of them. `policy-registry.ts` makes a policy by its name.
 */
import type { StepContext } from '../../shared/common/step.js';
import type { Backend } from '../control/routing-config.js';
import type { Judgement } from '../health/judgement-state.js';
import type { LoadEstimate } from './load-estimate.js';

/** A back end that may receive a new flow, with what is known of its load. */
export interface PlacementCandidate {
  readonly backend: Backend;
  /** Its judged state, and its last load report with whether it is trusted. */
  readonly judgement: Judgement;
  /** Those reports corrected for what this balancer has done since. */
  readonly estimate: LoadEstimate;
  /** Opens that this balancer sent there and that are not yet answered. */
  readonly pendingOpens: number;
}

/** What is known of the new flow and of the balancer that places it. */
export interface PlacementRequest {
  readonly flowId: Uint8Array;
  /** Zone of the balancer. */
  readonly localZone: string;
  /** How many balancers share the traffic, this one included. */
  readonly balancerCount: number;
  /** How many of them are in the local zone, this one included. */
  readonly localBalancerCount: number;
  /** Back ends that this open has been tried on, which are not chosen again. */
  readonly triedBackendIds: readonly number[];
}

/** Chooses a back end for each new flow. */
export interface PlacementPolicy {
  readonly name: string;
  /**
   * Called once for each open and each retry.
   * @param candidates the back ends of the service that may receive a flow; the same array as long
   *   as they are the same back ends in the same order, so that a policy may keep what it derives
   * @returns the chosen candidate, or undefined where all have been tried
   */
  choose(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    context: StepContext,
  ): PlacementCandidate | undefined;
}

/**
 * @returns true where the open has not been tried on this candidate
 */
export function isUntried(candidate: PlacementCandidate, request: PlacementRequest): boolean {
  return !request.triedBackendIds.includes(candidate.backend.id);
}
