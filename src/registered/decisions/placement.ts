/**
 * @file Chooses the back end of a new flow. Steps narrow the eligible back ends in turn (liveness, slow
 * start, ejection by answers, ejection by load, zone), then one of the remaining candidates is drawn. Each
 * step can be switched off.
 */
import type { KnownBackend } from '../ingress/known-backend.js';
import { createEjectionByAnswers, type EjectionByAnswers } from './ejection/by-answers.js';
import { withoutEjectedByLoad } from './ejection/by-load.js';
import { leastLoaded } from './least-load-choice.js';
import { bestByLiveness } from './liveness-choice.js';
import { createLoadPerSlot, type LoadPerSlot } from './load-per-slot.js';
import type { MechanismSwitches } from './mechanism-switches.js';
import { createServiceEstimates, type SpeedWeights } from './service-estimates.js';
import type { SlowStart } from './slow-start.js';
import { drawBySpeed } from './speed-draw.js';
import { createZoneChoice } from './zone-choice.js';

/** Chooses back ends for new flows. */
export interface Placement {
  /**
   * @param eligible active back ends of one service, outside of evacuated zones
   * @param flowHash 32 bits; spreads flows over equal candidates
   * @returns undefined if no back end may take the flow
   */
  choose(
    eligible: readonly KnownBackend[],
    flowHash: number,
    nowMs: number,
  ): KnownBackend | undefined;
  readonly loadOf: LoadPerSlot;
  /** Ejection by answers; for logs and metrics. */
  readonly ejections: EjectionByAnswers;
}

/** Narrows candidates; keeps their order. */
type PlacementStep = (
  candidates: readonly KnownBackend[],
  nowMs: number,
) => readonly KnownBackend[];

/** @param ownZone zone of this balancer */
export function createPlacement(
  ownZone: string,
  switches: MechanismSwitches,
  slowStart: SlowStart,
): Placement {
  const ejections = createEjectionByAnswers();
  const estimates = createServiceEstimates(ejections);
  const inChosenZones = createZoneChoice(ownZone, switches);
  const loadOf = createLoadPerSlot(switches, slowStart);
  const steps: readonly PlacementStep[] = [
    bestLiveness,
    admittedBySlowStart,
    notEjectedByAnswers,
    notEjectedByLoad,
    inChosenZones,
  ];

  return { choose, loadOf, ejections };

  function choose(
    eligible: readonly KnownBackend[],
    flowHash: number,
    nowMs: number,
  ): KnownBackend | undefined {
    const speeds = estimates.speedWeights(eligible, nowMs);
    const candidates = steps.reduce((remaining, step) => step(remaining, nowMs), eligible);
    return draw(candidates, flowHash, speeds, nowMs);
  }

  function bestLiveness(candidates: readonly KnownBackend[]): readonly KnownBackend[] {
    return switches.silence === 'ignored' ? candidates : bestByLiveness(candidates);
  }

  function admittedBySlowStart(
    candidates: readonly KnownBackend[],
    nowMs: number,
  ): readonly KnownBackend[] {
    return switches.warmUp === 'limited'
      ? candidates.filter((backend) => slowStart.admits(backend, nowMs))
      : candidates;
  }

  function notEjectedByAnswers(
    candidates: readonly KnownBackend[],
    nowMs: number,
  ): readonly KnownBackend[] {
    return switches.failing === 'passed-over'
      ? ejections.withoutEjected(candidates, nowMs)
      : candidates;
  }

  function notEjectedByLoad(candidates: readonly KnownBackend[]): readonly KnownBackend[] {
    return switches.outliers === 'passed-over' ? withoutEjectedByLoad(candidates) : candidates;
  }

  function draw(
    candidates: readonly KnownBackend[],
    flowHash: number,
    speeds: SpeedWeights,
    nowMs: number,
  ): KnownBackend | undefined {
    const loadNow = (backend: KnownBackend) => loadOf(backend, nowMs);
    return switches.choice === 'least-load'
      ? leastLoaded(candidates, flowHash, loadNow)
      : drawBySpeed(candidates, { flowHash, speeds, loadOf: loadNow });
  }
}
