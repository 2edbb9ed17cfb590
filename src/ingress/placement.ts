/**
 * @file Which back end of a service takes a new flow: one of the own zone with the least load, another
 * zone's only where the own zone is clearly busier. Silent and cold back ends come later.
 */
import type { Liveness } from '../registry/backend-liveness.js';
import type { BackendTable, KnownBackend } from './backend-table.js';

/** Options of placement. */
export interface PlacementOptions {
  readonly zone: string;
  /** Time between two heartbeats of a back end, in milliseconds. */
  readonly heartbeatIntervalMs: number;
}

/** How much an open flow counts against a request in progress. */
const FLOW_WEIGHT = 0.04;
/** A cold back end counts as if it had so many more requests in progress for each slot. */
const COLD_PENALTY = 0.4;
/** Another zone takes the flow only where its load a slot is lower by at least this. */
const ZONE_MARGIN = 0.6;

/**
 * Chooses a back end of a service.
 * @param flowHash spreads equal choices, the same on every balancer
 * @returns undefined where the service has none that could answer
 */
export function chooseBackend(
  table: BackendTable,
  service: string,
  options: PlacementOptions,
  flowHash: number,
  nowMs: number,
): KnownBackend | undefined {
  const candidates = bestHeard(table.staying(service));
  const local = candidates.filter(({ zone }) => zone === options.zone);
  const remote = candidates.filter(({ zone }) => zone !== options.zone);
  const bestLocal = leastLoaded(local, flowHash, nowMs);
  const bestRemote = leastLoaded(remote, flowHash, nowMs);
  if (bestLocal === undefined || bestRemote === undefined) {
    return bestLocal ?? bestRemote;
  }
  const difference = loadOf(bestLocal, nowMs) - loadOf(bestRemote, nowMs);
  return difference > ZONE_MARGIN ? bestRemote : bestLocal;
}

/** Those that were heard of lately; where there are none, those that were silent for a while. */
function bestHeard(staying: readonly KnownBackend[]): readonly KnownBackend[] {
  const judgedAs = (liveness: Liveness) =>
    staying.filter((backend) => backend.liveness === liveness);
  const heard = judgedAs('heard');
  return heard.length > 0 ? heard : judgedAs('silent');
}

function leastLoaded(
  candidates: readonly KnownBackend[],
  flowHash: number,
  nowMs: number,
): KnownBackend | undefined {
  let best: KnownBackend | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  const start = candidates.length === 0 ? 0 : flowHash % candidates.length;
  for (let step = 0; step < candidates.length; step += 1) {
    const candidate = candidates[(start + step) % candidates.length];
    const load = candidate === undefined ? bestLoad : loadOf(candidate, nowMs);
    if (load < bestLoad) {
      best = candidate;
      bestLoad = load;
    }
  }
  return best;
}

/**
 * @returns requests in progress for each slot, with a little for each open flow
 */
export function loadOf(backend: KnownBackend, nowMs: number): number {
  const { own, others, record } = backend;
  const busy = own.busy + others.busy;
  const flows = own.flows + others.flows;
  const perSlot = (busy + FLOW_WEIGHT * flows) / Math.max(1, record.capacity);
  return nowMs < backend.warmUntilMs ? perSlot + COLD_PENALTY : perSlot;
}
