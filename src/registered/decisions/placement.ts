/**
 * @file Which back end of a service takes a new flow: one of the own zone that answers soon, another
 * zone's only where the own zone is clearly busier. Silent and cold back ends come later; cold ones that have been
 * given what they bear take none.
 *
 * The load that passes other balancers is known with a delay: if it counted for each back end, all balancers would
 * send all opens of that time to the same one. It decides between zones, whose sums change slowly.
 */
import type { Liveness } from '../registry/backend-liveness.js';
import type { KnownBackend } from '../ingress/known-backend.js';
import { drawBySpeed } from './speed-draw.js';
import { withoutEjectedByLoad } from './ejection/by-load.js';
import { createEjectionByAnswers, type EjectionByAnswers } from './ejection/by-answers.js';
import { createServiceEstimates } from './service-estimates.js';
import { createZoneChoice } from './zone-choice.js';
import type { SlowStart } from './slow-start.js';
import type { MechanismSwitches } from './mechanism-switches.js';

/** Decides which back end takes a new flow. */
export interface Placement {
  /**
   * @param staying the back ends of a service that new flows may go to
   * @param flowHash spreads equal choices
   * @returns undefined where the service has none that could answer
   */
  choose(
    staying: readonly KnownBackend[],
    flowHash: number,
    nowMs: number,
  ): KnownBackend | undefined;
  /** @returns requests in progress for each slot, with some more at a cold back end */
  loadOf(backend: KnownBackend, nowMs: number): number;
  /** Which back ends are passed over since they fail. */
  readonly ejections: EjectionByAnswers;
}

/** A cold back end counts as if it had so many more requests in progress for each slot. */
const COLD_PENALTY = 0.4;

/**
 * @param ownZone zone of the balancer that places
 * @param coldShare what this balancer may give to cold back ends
 */
export function createPlacement(
  ownZone: string,
  policy: MechanismSwitches,
  coldShare: SlowStart,
): Placement {
  const countsTold = policy.toldLoads === 'backend';
  const ejections = createEjectionByAnswers();
  const judgements = createServiceEstimates(ejections);
  const inChosenZones = createZoneChoice(ownZone, policy);

  return { choose, loadOf, ejections };

  function choose(
    staying: readonly KnownBackend[],
    flowHash: number,
    nowMs: number,
  ): KnownBackend | undefined {
    const speeds = judgements.speedWeights(staying, nowMs);
    const heard = policy.silence === 'ignored' ? staying : bestHeard(staying);
    const bearing =
      policy.warmUp === 'limited'
        ? heard.filter((backend) => coldShare.admits(backend, nowMs))
        : heard;
    const sound =
      policy.failing === 'passed-over' ? ejections.withoutEjected(bearing, nowMs) : bearing;
    const candidates = policy.outliers === 'passed-over' ? withoutEjectedByLoad(sound) : sound;
    const load = (backend: KnownBackend) => loadOf(backend, nowMs);
    const inZones = inChosenZones(candidates);
    return policy.choice === 'least-load'
      ? leastLoaded(inZones, flowHash, load)
      : drawBySpeed(inZones, { flowHash, speeds, loadOf: load });
  }

  function isCold(backend: KnownBackend, nowMs: number): boolean {
    return policy.warmUp !== 'ignored' && coldShare.isCold(backend, nowMs);
  }

  function loadOf(backend: KnownBackend, nowMs: number): number {
    const { local, fleet, registration } = backend;
    const busy = local.busy + (countsTold ? fleet.busy : 0);
    const perSlot = busy / Math.max(1, registration.record.capacity);
    return isCold(backend, nowMs) ? perSlot + COLD_PENALTY : perSlot;
  }
}

/** The first with the least load, from a place on that the flow decides. */
function leastLoaded(
  candidates: readonly KnownBackend[],
  flowHash: number,
  loadOf: (backend: KnownBackend) => number,
): KnownBackend | undefined {
  const { length } = candidates;
  let best: KnownBackend | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  for (let index = 0; index < length; index += 1) {
    const candidate = candidates[(flowHash + index) % length];
    const load = candidate === undefined ? bestLoad : loadOf(candidate);
    if (load < bestLoad) {
      best = candidate;
      bestLoad = load;
    }
  }
  return best;
}

/** Those that were heard of lately; where there are none, those that were silent for a while. */
function bestHeard(staying: readonly KnownBackend[]): readonly KnownBackend[] {
  const judgedAs = (liveness: Liveness) =>
    staying.filter((backend) => backend.registration.liveness === liveness);
  const heard = judgedAs('alive');
  return heard.length > 0 ? heard : judgedAs('suspect');
}
