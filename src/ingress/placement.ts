/**
 * @file Which back end of a service takes a new flow: one of the own zone with the least load, another
 * zone's only where the own zone is clearly busier. Silent and cold back ends come later.
 */
import { match } from 'ts-pattern';
import type { Liveness } from '../registry/backend-liveness.js';
import type { KnownBackend } from './backend-table.js';
import type { IngressPolicy } from './policy.js';

/** An open that is to be placed. */
export interface OpenToPlace {
  /** Spreads equal choices, the same on every balancer. */
  readonly flowHash: number;
  readonly nowMs: number;
  /** How many opens other balancers place, by estimate, until this one hears of them. */
  readonly unseenOpens: number;
}

/** Decides which back end takes a new flow. */
export interface Placement {
  /**
   * @param staying the back ends of a service that have not said that they leave
   * @returns undefined where the service has none that could answer
   */
  choose(staying: readonly KnownBackend[], open: OpenToPlace): KnownBackend | undefined;
  /** @returns requests in progress for each slot, with a little for each open flow */
  loadOf(backend: KnownBackend, nowMs: number): number;
}

/** How much an open flow counts against a request in progress. */
const FLOW_WEIGHT = 0.04;
/** A cold back end counts as if it had so many more requests in progress for each slot. */
const COLD_PENALTY = 0.4;
/** Another zone takes the flow only where its load a slot is lower by at least this. */
const ZONE_MARGIN = 0.6;
/** With two to choose from, the longest queue is already far shorter than with one. */
const LEAST_SAMPLE = 2;
/** Odd, so that steps of it reach every back end of a list whose length is a power of two. */
const SAMPLE_STEP = 0x9e3779b1;

/**
 * @param zone zone of the balancer that places
 */
export function createPlacement(zone: string, policy: IngressPolicy): Placement {
  return { choose, loadOf };

  function choose(staying: readonly KnownBackend[], open: OpenToPlace): KnownBackend | undefined {
    const candidates = policy.silence === 'ignored' ? staying : bestHeard(staying);
    if (policy.zones === 'any') {
      return leastLoaded(candidates, open);
    }
    const local = candidates.filter((backend) => backend.zone === zone);
    const remote = candidates.filter((backend) => backend.zone !== zone);
    const bestLocal = leastLoaded(local, open);
    const bestRemote = leastLoaded(remote, open);
    if (bestLocal === undefined || bestRemote === undefined) {
      return bestLocal ?? bestRemote;
    }
    const difference = loadOf(bestLocal, open.nowMs) - loadOf(bestRemote, open.nowMs);
    return difference > ZONE_MARGIN ? bestRemote : bestLocal;
  }

  function leastLoaded(
    candidates: readonly KnownBackend[],
    { flowHash, nowMs, unseenOpens }: OpenToPlace,
  ): KnownBackend | undefined {
    const { length } = candidates;
    const sampleSize = match(policy.choice)
      .with('least-loaded', () => length)
      .with('sampled', () => sampleSizeOf(length, unseenOpens))
      .with('random', () => 1)
      .exhaustive();
    const step = sampleSize === length ? 1 : SAMPLE_STEP;
    let best: KnownBackend | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (let index = 0; index < Math.min(sampleSize, length); index += 1) {
      const candidate = candidates[((flowHash + index * step) >>> 0) % length];
      const load = candidate === undefined ? bestLoad : loadOf(candidate, nowMs);
      if (load < bestLoad) {
        best = candidate;
        bestLoad = load;
      }
    }
    return best;
  }

  function loadOf({ own, others, record, warmUntilMs }: KnownBackend, nowMs: number): number {
    const told = policy.toldLoads === 'counted' ? others : NO_LOAD;
    const flowWeight = policy.flows === 'counted' ? FLOW_WEIGHT : 0;
    const busy = own.busy + told.busy + flowWeight * (own.flows + told.flows);
    const perSlot = busy / Math.max(1, record.capacity);
    const isCold = policy.warmUp === 'later' && nowMs < warmUntilMs;
    return isCold ? perSlot + COLD_PENALTY : perSlot;
  }
}

const NO_LOAD = { busy: 0, flows: 0 } as const;

/** Those that were heard of lately; where there are none, those that were silent for a while. */
function bestHeard(staying: readonly KnownBackend[]): readonly KnownBackend[] {
  const judgedAs = (liveness: Liveness) =>
    staying.filter((backend) => backend.liveness === liveness);
  const heard = judgedAs('heard');
  return heard.length > 0 ? heard : judgedAs('silent');
}

/**
 * Loads are known with a delay. If all balancers took the least loaded of all, all opens of that time would
 * go to one back end; so the fewer back ends are looked at, the more opens are unseen.
 */
function sampleSizeOf(length: number, unseenOpens: number): number {
  return Math.max(LEAST_SAMPLE, Math.round(length / (1 + unseenOpens)));
}
