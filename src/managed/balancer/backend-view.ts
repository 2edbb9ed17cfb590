/**
 * @file What a balancer knows of one back end. `backend-evidence.ts` changes it, but for `backend` (`config-tables.ts`) and the
 * identity (`backend-identity.ts`).
 */
import type { Backend } from '../control/routing-config.js';
import type { HealthReport } from '../health/backend-report.js';
import { createJudgement, type Judgement } from '../health/judgement-state.js';
import { createLoadEstimate, type LoadEstimate } from '../routing/load-estimate.js';
import type { PlacementCandidate } from '../routing/placement-policy.js';

/** What a balancer knows of one back end. */
export interface BackendView extends PlacementCandidate {
  backend: Backend;
  /** The last health report, with the last known incarnation. */
  health: HealthReport | undefined;
  pendingOpens: number;
  /** When the probe began that the back end last answered with its own ID, in milliseconds. */
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
