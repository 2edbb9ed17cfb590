/**
 * @file A balancer's state for one back end. `backend-evidence.ts` updates it, except `backend` (`config-tables.ts`) and
 * `identityConfirmedAtMs` (`backend-identity.ts`).
 */
import type { Backend } from '../control/routing-config.js';
import type { HealthReport } from '../health/backend-report.js';
import { createJudgement, type Judgement } from '../health/judgement-state.js';
import { createLoadEstimate, type LoadEstimate } from '../routing/load-estimate.js';
import type { PlacementCandidate } from '../routing/placement-policy.js';

/** A balancer's configuration, health and load estimate for one back end. */
export interface BackendView extends PlacementCandidate {
  backend: Backend;
  /** The last health report, with the last reported incarnation. */
  health: HealthReport | undefined;
  pendingOpens: number;
  /** Start of the last probe that the back end answered with the expected ID. */
  identityConfirmedAtMs: number;
  readonly judgement: Judgement;
  readonly estimate: LoadEstimate;
}

/**
 * @returns the view of a back end that has not been probed
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
