/**
 * @file The seam for placement policies: which back end receives a new flow. Policies plug in by
 * name, see `policy-registry.ts`.
 */
import type { StepContext } from '../common/step.js';
import type { LoadReport } from '../health/backend-report.js';

/** A back end that may receive a new flow, with what is known of its load. */
export interface PlacementCandidate {
  readonly backendId: number;
  readonly zone: string;
  /** Share of new flows against its peers: 1 for a warm back end, less during slow start. */
  readonly weight: number;
  /** The last load report; undefined where none has come. */
  readonly load: LoadReport | undefined;
  /** When that report came, on the clock of the step. */
  readonly loadReceivedAtMs: number;
  /** Opens that this balancer sent there and that are not yet answered. */
  readonly pendingOpens: number;
  /** Opens that this balancer sent there since the last load report came. */
  readonly opensSinceReport: number;
}

/** What is known of the new flow and of the balancer that places it. */
export interface PlacementRequest {
  readonly flowId: Uint8Array;
  /** Zone of the balancer. */
  readonly localZone: string;
  /** How many balancers share the traffic, this one included. */
  readonly balancerCount: number;
}

/** Chooses a back end for each new flow. */
export interface PlacementPolicy {
  readonly name: string;
  /**
   * Called once for each open and each retry; never with an empty list.
   * @returns the chosen candidate
   */
  choose(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    context: StepContext,
  ): PlacementCandidate;
}
