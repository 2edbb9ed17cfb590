/**
 * @file The default placement: the zone whose turn it is, then the lowest score of several random
 * choices in it. The score of a back end is how much of its fair share it has had: of the
 * connections (by the estimate of its load) and of this balancer's own recent opens. The latter keeps
 * the choice even within a report's lag, and bounds how fast a back end with few connections is
 * filled, since each new flow also brings work.
 */
import type { StepContext } from '../common/step.js';
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
const CHOICES = 16;
/** Weight of the recent opens in the score, against 1 for the connections. */
const RECENT_OPENS_WEIGHT = 1;
/** Weight of the slot use over the mean. */
const SLOT_USE_WEIGHT = 0.05;
/** What a refused or timed-out open of late adds to the score. */
const FAILURE_WEIGHT = 0.5;

/** How much of something each candidate has had, in the units that the score compares. */
interface Shares {
  readonly connectionUse: number;
  readonly recentOpens: number;
  readonly slotUse: number;
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
  const mean = meanOf(samples);
  let best: PlacementCandidate | undefined;
  let bestScore = Infinity;
  for (const sample of samples) {
    const score = scoreOf(sample, mean, context.nowMs);
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
    slotUse: estimate.slotUse,
  };
}

function meanOf(samples: readonly Sample[]): Shares {
  const sum = { connectionUse: 0, recentOpens: 0, slotUse: 0 };
  for (const sample of samples) {
    sum.connectionUse += sample.connectionUse;
    sum.recentOpens += sample.recentOpens;
    sum.slotUse += sample.slotUse;
  }
  const count = Math.max(1, samples.length);
  return {
    connectionUse: sum.connectionUse / count,
    recentOpens: sum.recentOpens / count,
    slotUse: sum.slotUse / count,
  };
}

function scoreOf(sample: Sample, mean: Shares, nowMs: number): number {
  const connections = overMean(sample.connectionUse, mean.connectionUse);
  const opens = overMean(sample.recentOpens, mean.recentOpens);
  const failures = recentFailures(sample.candidate.estimate, nowMs);
  return (
    connections +
    RECENT_OPENS_WEIGHT * opens +
    SLOT_USE_WEIGHT * (sample.slotUse - mean.slotUse) +
    FAILURE_WEIGHT * failures
  );
}

function overMean(value: number, mean: number): number {
  return mean === 0 ? 1 : value / mean;
}
