/**
 * @file The interface of placement policies, which choose the back end of each new flow.
 */
import type { StepContext } from '../../shared/common/step.js';
import type { Backend } from '../control/routing-config.js';
import type { Judgement } from '../health/judgement-state.js';
import type { LoadEstimate } from './load-estimate.js';

/** A back end that may receive a new flow, with its health and load. */
export interface PlacementCandidate {
  readonly backend: Backend;
  /** Health state, and the last load report with whether it is trusted. */
  readonly judgement: Judgement;
  /** Load reports corrected for this balancer's own opens. */
  readonly estimate: LoadEstimate;
  /** Unanswered opens that this balancer sent to the back end. */
  readonly pendingOpens: number;
}

/** The new flow, and the balancer that places it. */
export interface PlacementRequest {
  readonly flowId: Uint8Array;
  /** Zone of this balancer. */
  readonly localZone: string;
  /** Balancers that share the traffic, including this one. */
  readonly balancerCount: number;
  /** Balancers in the local zone, including this one. */
  readonly localBalancerCount: number;
  /** Back ends that this open has already been sent to; they are excluded. */
  readonly triedBackendIds: readonly number[];
}

/** Chooses a back end for each new flow. */
export interface PlacementPolicy {
  readonly name: string;
  /**
   * Called once per open and per retry.
   * @param candidates the same array as long as the list of back ends is unchanged, so a policy may use it as a cache
   *   key
   * @returns undefined if all candidates have been tried
   */
  choose(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    context: StepContext,
  ): PlacementCandidate | undefined;
}

/**
 * @returns true if the open has not been sent to this candidate yet
 */
export function isUntried(candidate: PlacementCandidate, request: PlacementRequest): boolean {
  return !request.triedBackendIds.includes(candidate.backend.id);
}
