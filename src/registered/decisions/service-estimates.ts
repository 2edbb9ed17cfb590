/**
 * @file Caches the speed weights of the back ends of each service, and updates ejection by answers with each
 * new estimate. Estimating for each flow would be far slower than the rest of the choice.
 */
import { relativeTimes } from './answer-times.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import { observeAll } from './fleet-answer-stats.js';
import type { EjectionByAnswers } from './ejection/by-answers.js';

/** Cached estimates by service. */
interface ServiceEstimates {
  /**
   * @param backends all eligible back ends of one service
   * @returns the weights; a back end that is missing counts as average
   */
  speedWeights(backends: readonly KnownBackend[], nowMs: number): SpeedWeights;
}

/** Weight per slot, by back end; 1 is average speed. */
export type SpeedWeights = ReadonlyMap<KnownBackend, number>;

/** Half of the interval between two reports of other balancers. */
const ESTIMATE_LIFETIME_MS = 250;

/** Draws a back end of twice the speed 2.8 times as often; 1 would overload slow back ends, 2 fast ones. */
const SPEED_EXPONENT = 1.5;

interface ServiceEstimate {
  readonly estimatedAtMs: number;
  readonly speeds: SpeedWeights;
}

/** @param ejections ejection state to update with each new estimate */
export function createServiceEstimates(ejections: EjectionByAnswers): ServiceEstimates {
  const byService = new Map<string, ServiceEstimate>();

  return { speedWeights };

  function speedWeights(backends: readonly KnownBackend[], nowMs: number): SpeedWeights {
    const service = backends[0]?.service ?? '';
    const known = byService.get(service);
    if (known !== undefined && nowMs - known.estimatedAtMs < ESTIMATE_LIFETIME_MS) {
      return known.speeds;
    }
    const observed = observeAll(backends, nowMs);
    ejections.detect(observed, nowMs);
    const speeds = new Map<KnownBackend, number>();
    for (const [backend, time] of relativeTimes(observed)) {
      speeds.set(backend, time ** -SPEED_EXPONENT);
    }
    byService.set(service, { estimatedAtMs: nowMs, speeds });
    return speeds;
  }
}
