/**
 * @file The default placement: the zone whose turn it is, then the lowest score of several random
 * choices in it. The score of a back end is how much of its fair share it has had: of the
 * connections (by the estimate of its load) and of this balancer's own recent opens. The latter keeps
 * the choice even within a report's lag, and bounds how fast a back end with few connections is
 * filled, since each new flow also brings work.
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

/** How many candidates are compared; all of them where there are no more. */
const CHOICES = 8;
/** Weight of the recent opens in the score, against 1 for the connections. */
const RECENT_OPENS_WEIGHT = 0.1;
/** A back end with few connections gets at most this many times its share of new flows. */
const MAX_FILL_RATE = 1.5;
/** The share of the connections below which having still fewer makes no difference. */
const LEAST_CONNECTION_SHARE = 1 - RECENT_OPENS_WEIGHT * (MAX_FILL_RATE - 1);
/** What each queued request for a slot adds to the score. */
const QUEUE_WEIGHT = 0.05;
/** What a refused or timed-out open of late adds to the score. */
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
