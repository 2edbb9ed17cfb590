/**
 * @file What is judged of the back ends of each service: which fail, and how often each is drawn. Tables of other
 * balancers come twice a second and own answers change little from one flow to the next, so a judgement holds for a
 * moment. Made for each flow it took five times as long as the rest of a choice among 84 back ends.
 *
 * What must hold for each flow, such as who leaves, is cold or busy here, is not part of it.
 */
import { relativeTimes } from './answer-times.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import { observeAll } from './fleet-answer-stats.js';
import type { EjectionByAnswers } from './ejection/by-answers.js';

/** Judgements by service. */
export interface ServiceEstimates {
  /**
   * @param backends all of one service that may be chosen
   * @returns how often each is drawn against one of average speed; 1 for one that is not in it
   */
  speedWeights(backends: readonly KnownBackend[], nowMs: number): SpeedWeights;
}

/** How often a back end is drawn for each of its slots, against one of average speed. */
export type SpeedWeights = ReadonlyMap<KnownBackend, number>;

/** A judgement holds for so long: half of the time between two tables of the others. */
const HOLDS_MS = 250;

/**
 * How much more often a fast one is drawn: one that takes half of the time 2.8 times as often. By the time alone the slow
 * ones are the more crowded ones; by its square those that seem fast are crowded where two thirds of all slots are in use.
 */
const SPEED_POWER = 1.5;

interface Judgement {
  readonly madeAtMs: number;
  readonly speeds: SpeedWeights;
}

/** @param failing is told to look at back ends with each new judgement */
export function createServiceEstimates(failing: EjectionByAnswers): ServiceEstimates {
  const byService = new Map<string, Judgement>();

  return { speedWeights };

  function speedWeights(backends: readonly KnownBackend[], nowMs: number): SpeedWeights {
    const service = backends[0]?.service ?? '';
    const known = byService.get(service);
    if (known !== undefined && nowMs - known.madeAtMs < HOLDS_MS) {
      return known.speeds;
    }
    const shown = observeAll(backends, nowMs);
    failing.detect(shown, nowMs);
    const speeds = new Map<KnownBackend, number>();
    for (const [backend, time] of relativeTimes(shown)) {
      speeds.set(backend, time ** -SPEED_POWER);
    }
    byService.set(service, { madeAtMs: nowMs, speeds });
    return speeds;
  }
}
