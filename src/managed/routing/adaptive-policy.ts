/**
 * @file Which candidate receives a new flow under the policy `adaptive`, the default?
 *
 * 1. The zone whose turn it is (`zone-rotation.ts`).
 * 2. Several random candidates of that zone that the open was not tried on.
 * 3. The lowest score among them. The score of a back end is how much of its fair share it has: of the connections (by
 *    `load-estimate.ts`) and of this balancer's own recent opens, plus what queued requests and recent failures add.
 * 4. Where the open was tried on the whole zone, steps 2 and 3 over all candidates.
 *
 * Recent opens keep the choice even within the delay of load reports, and bound how fast a back end with few connections
 * is filled, since each new flow also brings work. Returns undefined where every candidate was tried. The weights come
 * from the trials in docs/design/placement.md.
 */
import type { StepContext } from '../../shared/common/step.js';
import { recentFailures, recentOpens } from './load-estimate.js';
import {
  isUntried,
  type PlacementCandidate,
  type PlacementPolicy,
  type PlacementRequest,
} from './placement-policy.js';
import { slowStartWeight } from './slow-start.js';
import { ZoneRotation } from './zone-rotation.js';

/**
 * How many candidates are compared; all of them where there are no more. Not measured; too few if peak over mean
 * rises with back ends.
 */
const CHOICES = 8;
/**
 * Weight of the recent opens in the score, against 1 for the connections. In a tenfold surge, with reports that draw the
 * estimate over 2 s and come 5 s late at 30 balancers, 0.03 gave a peak over mean of 1.256 and 0.1 gave 1.085.
 */
const RECENT_OPENS_WEIGHT = 0.1;
/**
 * A back end with few connections gets at most this many times its share of new flows. Not measured by itself; too high
 * if a back end that has just joined refuses or times out, too low if connections stay uneven for long after a join.
 */
const MAX_FILL_RATE = 1.5;
/** The share of the connections below which having still fewer makes no difference. */
const LEAST_CONNECTION_SHARE = 1 - RECENT_OPENS_WEIGHT * (MAX_FILL_RATE - 1);
/**
 * What each queued request for a slot adds to the score. Busy slots add nothing: with a weight of 0.5 for slot use the
 * peak over mean of slots rose from 1.35 to 1.7. The 0.05 is not measured; too low if queues grow on some back ends only.
 */
const QUEUE_WEIGHT = 0.05;
/**
 * What a recent refusal or timeout adds to the score. Not measured; too low if failing back ends keep getting opens.
 */
const FAILURE_WEIGHT = 0.1;

/** How much of something each candidate has had, in the units that the score compares. */
interface Shares {
  readonly connectionUse: number;
  readonly recentOpens: number;
}

interface Sample extends Shares {
  readonly candidate: PlacementCandidate;
}

/** Chooses by load, as far as it can be known. */
export class AdaptivePolicy implements PlacementPolicy {
  readonly name = 'adaptive';
  private readonly rotations = new WeakMap<readonly PlacementCandidate[], ZoneRotation>();

  choose(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    context: StepContext,
  ): PlacementCandidate | undefined {
    const inZone = this.rotationFor(candidates).next(request, context.nowMs);
    return (
      lowestScore(inZone, request, context) ??
      // A retry that has tried the whole zone goes to any other.
      lowestScore(candidates, request, context)
    );
  }

  private rotationFor(candidates: readonly PlacementCandidate[]): ZoneRotation {
    const existing = this.rotations.get(candidates);
    if (existing !== undefined) {
      return existing;
    }
    const rotation = new ZoneRotation(candidates);
    this.rotations.set(candidates, rotation);
    return rotation;
  }
}

function lowestScore(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  context: StepContext,
): PlacementCandidate | undefined {
  const samples = drawSamples(candidates, request, context);
  const fair = fairShares(samples);
  let best: PlacementCandidate | undefined;
  let bestScore = Infinity;
  for (const sample of samples) {
    const score = scoreOf(sample, fair, context.nowMs);
    if (score < bestScore) {
      best = sample.candidate;
      bestScore = score;
    }
  }
  return best;
}

/** Draws candidates at random, none twice, in random order, which decides between equals. */
function drawSamples(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  context: StepContext,
): Sample[] {
  const samples: Sample[] = [];
  const count = CHOICES + request.triedBackendIds.length;
  for (const position of randomPositions(candidates.length, count, context)) {
    const candidate = candidates[position];
    if (candidate !== undefined && isUntried(candidate, request)) {
      samples.push(sampleOf(candidate, context.nowMs));
    }
  }
  return samples;
}

/** Up to `count` different numbers below `bound`, in random order (Floyd's sampling). */
function randomPositions(bound: number, count: number, context: StepContext): readonly number[] {
  const positions: number[] = [];
  for (let highest = Math.max(0, bound - count); highest < bound; highest += 1) {
    const drawn = context.random.nextInt(highest + 1);
    const position = positions.includes(drawn) ? highest : drawn;
    positions.splice(context.random.nextInt(positions.length + 1), 0, position);
  }
  return positions;
}

function sampleOf(candidate: PlacementCandidate, nowMs: number): Sample {
  const { estimate, judgement } = candidate;
  return {
    candidate,
    connectionUse: estimate.connections / estimate.connectionLimit,
    // A cold back end has had its share after few opens.
    recentOpens: recentOpens(estimate, nowMs) / slowStartWeight(judgement.slowStartAtMs, nowMs),
  };
}

function fairShares(samples: readonly Sample[]): Shares {
  const uses = samples.map(({ connectionUse }) => connectionUse);
  const leastUse = LEAST_CONNECTION_SHARE * mean(uses);
  return {
    // Back ends that are being filled would draw the mean below what the others hold evenly.
    connectionUse: mean(uses.filter((use) => use >= leastUse)),
    recentOpens: mean(samples.map(({ recentOpens: opens }) => opens)),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function scoreOf(sample: Sample, fair: Shares, nowMs: number): number {
  const connections = overFair(sample.connectionUse, fair.connectionUse);
  const queuedPerSlot = Math.max(0, sample.candidate.estimate.slotUse - 1);
  const opens = overFair(sample.recentOpens, fair.recentOpens);
  const failures = recentFailures(sample.candidate.estimate, nowMs);
  return (
    Math.max(LEAST_CONNECTION_SHARE, connections) +
    RECENT_OPENS_WEIGHT * opens +
    QUEUE_WEIGHT * queuedPerSlot +
    FAILURE_WEIGHT * failures
  );
}

function overFair(value: number, fair: number): number {
  return fair === 0 ? 1 : value / fair;
}
