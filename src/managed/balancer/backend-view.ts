/**
 * @file What a balancer knows of one back end.
 */
import type { Backend } from '../control/routing-config.js';
import type { HealthReport } from '../health/backend-report.js';
import { createJudgement, type Judgement } from '../health/judgement-state.js';
import { createLoadEstimate, type LoadEstimate } from '../routing/load-estimate.js';
import type { PlacementCandidate } from '../routing/placement-policy.js';

/** What a balancer knows of one back end. */
export interface BackendView extends PlacementCandidate {
  backend: Backend;
  /** The last health report, with the incarnation that the back end told last. */
  health: HealthReport | undefined;
  pendingOpens: number;
  /** When the back end was asked what it last answered to with its own ID. */
  identityConfirmedAtMs: number;
  readonly judgement: Judgement;
  readonly estimate: LoadEstimate;
}

/**
 * @returns the view of a back end of which nothing is known but its configuration
 */
export function createBackendView(backend: Backend): BackendView {
  return {
    backend,
    health: undefined,
    pendingOpens: 0,
    identityConfirmedAtMs: Number.NEGATIVE_INFINITY,
    judgement: createJudgement(backend.adminState),
    estimate: createLoadEstimate(),
  };
}
