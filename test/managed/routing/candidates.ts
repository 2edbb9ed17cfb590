/** @file Builds candidates, requests and contexts for tests of placement policies. */
import { seededRandom } from '../../../src/shared/common/random.js';
import type { StepContext } from '../../../src/shared/common/step.js';
import { createJudgement } from '../../../src/managed/health/judgement-state.js';
import {
  createLoadEstimate,
  recordLoadReport,
} from '../../../src/managed/routing/load-estimate.js';
import type {
  PlacementCandidate,
  PlacementRequest,
} from '../../../src/managed/routing/placement-policy.js';

export const CONNECTION_LIMIT = 2_000;

export interface CandidateOptions {
  readonly id: number;
  readonly zone?: string;
  readonly connections?: number;
  readonly slowStartAtMs?: number;
}

export function candidate(options: CandidateOptions): PlacementCandidate {
  const { id, zone = 'zone-a', connections = 0 } = options;
  const address = { host: '127.0.0.1', port: id };
  const judgement = createJudgement('active');
  const estimate = createLoadEstimate();
  const load = {
    connections,
    connectionLimit: CONNECTION_LIMIT,
    busySlots: 0,
    slots: 2,
    queuedRequests: 0,
  };
  judgement.trust.lastReport = load;
  judgement.slowStartAtMs = options.slowStartAtMs;
  recordLoadReport(estimate, load, 0);
  return {
    backend: { id, serviceId: 1, address, healthAddress: address, zone, adminState: 'active' },
    judgement,
    estimate,
    pendingOpens: 0,
  };
}

export function requestFor(
  flowNumber: number,
  overrides: Partial<PlacementRequest> = {},
): PlacementRequest {
  const flowId = Buffer.alloc(8);
  flowId.writeUInt32BE(flowNumber, 4);
  return {
    flowId,
    localZone: 'zone-a',
    balancerCount: 1,
    localBalancerCount: 1,
    triedBackendIds: [],
    ...overrides,
  };
}

export function contextAt(nowMs: number, seed = 1): StepContext {
  return { nowMs, random: seededRandom(seed) };
}
