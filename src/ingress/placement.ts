/**
 * @file Which back end of a service takes a new flow: one of the own zone with the least load, another
 * zone's only where the own zone is clearly busier. Silent and cold back ends come later; cold ones that have been
 * given what they bear take none.
 *
 * The back end is chosen by what passes this balancer alone. What passes the others is known with a delay:
 * if it counted here, all balancers would send all opens of that time to the same back end. It decides
 * between zones, whose sums change slowly.
 */
import type { Liveness } from '../registry/backend-liveness.js';
import type { KnownBackend } from './backend-table.js';
import { withoutOutliers } from './outliers.js';
import type { ColdShare } from './cold-share.js';
import type { IngressPolicy } from './policy.js';

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
}

/** A cold back end counts as if it had so many more requests in progress for each slot. */
const COLD_PENALTY = 0.4;
/** Another zone takes the flow only where its load a slot is lower by at least this. */
const ZONE_MARGIN = 0.6;

/**
 * @param ownZone zone of the balancer that places
 * @param coldShare what this balancer may give to cold back ends
 */
export function createPlacement(
  ownZone: string,
  policy: IngressPolicy,
  coldShare: ColdShare,
): Placement {
  const countsTold = policy.toldLoads === 'backend';

  return { choose, loadOf };

  function choose(
    staying: readonly KnownBackend[],
    flowHash: number,
    nowMs: number,
  ): KnownBackend | undefined {
    const heard = policy.silence === 'ignored' ? staying : bestHeard(staying);
    const bearing =
      policy.warmUp === 'limited'
        ? heard.filter((backend) => coldShare.mayTake(backend, nowMs))
        : heard;
    const candidates = policy.outliers === 'passed-over' ? withoutOutliers(bearing) : bearing;
    if (policy.zones === 'any') {
      return leastLoaded(candidates, flowHash, nowMs);
    }
    const local = candidates.filter(({ zone }) => zone === ownZone);
    const remote = candidates.filter(({ zone }) => zone !== ownZone);
    const isBusier = zoneLoad(local) - zoneLoad(remote) > ZONE_MARGIN;
    const goesElsewhere = local.length === 0 || (remote.length > 0 && isBusier);
    return leastLoaded(goesElsewhere ? inIdlerZones(remote) : local, flowHash, nowMs);
  }

  /** Flows of a zone that takes none are spread over the others, but for those that are clearly busier than one. */
  function inIdlerZones(remote: readonly KnownBackend[]): readonly KnownBackend[] {
    const zones = [...new Set(remote.map(({ zone }) => zone))];
    const loads = new Map(zones.map((name) => [name, zoneLoad(inZone(remote, name))]));
    const least = Math.min(...loads.values());
    return remote.filter(({ zone }) => (loads.get(zone) ?? least) - least <= ZONE_MARGIN);
  }

  /** @returns requests in progress for each slot over all of some back ends */
  function zoneLoad(backends: readonly KnownBackend[]): number {
    let busy = 0;
    let slots = 0;
    for (const { own, others, record } of backends) {
      busy += own.busy + (policy.toldLoads === 'ignored' ? 0 : others.busy);
      slots += Math.max(1, record.capacity);
    }
    return busy / Math.max(1, slots);
  }

  function leastLoaded(
    candidates: readonly KnownBackend[],
    flowHash: number,
    nowMs: number,
  ): KnownBackend | undefined {
    const { length } = candidates;
    let best: KnownBackend | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (let index = 0; index < length; index += 1) {
      const candidate = candidates[(flowHash + index) % length];
      const load = candidate === undefined ? bestLoad : loadOf(candidate, nowMs);
      if (load < bestLoad) {
        best = candidate;
        bestLoad = load;
      }
    }
    return best;
  }

  function loadOf(backend: KnownBackend, nowMs: number): number {
    const { own, others, record } = backend;
    const busy = own.busy + (countsTold ? others.busy : 0);
    const perSlot = busy / Math.max(1, record.capacity);
    const isCold = policy.warmUp !== 'ignored' && coldShare.isCold(backend, nowMs);
    return isCold ? perSlot + COLD_PENALTY : perSlot;
  }
}

function inZone(backends: readonly KnownBackend[], name: string): KnownBackend[] {
  return backends.filter(({ zone }) => zone === name);
}

/** Those that were heard of lately; where there are none, those that were silent for a while. */
function bestHeard(staying: readonly KnownBackend[]): readonly KnownBackend[] {
  const judgedAs = (liveness: Liveness) =>
    staying.filter((backend) => backend.liveness === liveness);
  const heard = judgedAs('heard');
  return heard.length > 0 ? heard : judgedAs('silent');
}
