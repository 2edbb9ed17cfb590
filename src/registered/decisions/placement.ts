/**
 * @file Which back end of a service takes a new flow?
 *
 * - Inputs: the eligible back ends of the service (active, outside of evacuated zones), a hash of the flow, the time in
 *   milliseconds; the mechanism switches.
 * - Returns: a back end, or undefined where none may take the flow.
 * - The steps below narrow the candidates one after the other, and each keeps their order: liveness, slow start,
 *   ejection by answers, ejection by load, zone choice. A draw among those that are left ends it. Each step is a module
 *   of its own, which gives its reason and its constants; its switch leaves it out.
 *
 * The line `placed` gives each choice with the load of the back end.
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

/** Decides which back end takes a new flow. */
export interface Placement {
  /**
   * @param eligible the back ends of a service that new flows may go to
   * @param flowHash 32 bits; spreads equal choices
   * @returns undefined where none may take the flow
   */
  choose(
    eligible: readonly KnownBackend[],
    flowHash: number,
    nowMs: number,
  ): KnownBackend | undefined;
  readonly loadOf: LoadPerSlot;
  /** Which back ends are ejected by their answers; for logs and metrics. */
  readonly ejections: EjectionByAnswers;
}

/** Narrows the candidates; keeps their order. */
type PlacementStep = (
  candidates: readonly KnownBackend[],
  nowMs: number,
) => readonly KnownBackend[];

/** @param ownZone zone of the balancer that places */
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
    const candidates = steps.reduce((left, step) => step(left, nowMs), eligible);
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
