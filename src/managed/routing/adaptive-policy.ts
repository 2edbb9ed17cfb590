/**
 * @file The placement policy `adaptive`, the default. It picks a zone by weighted round robin and, in that zone, the
 * candidate with the lowest load score in a random sample.
 *
 * The score adds up connections and recent opens, each relative to the fair share, queued requests and recent
 * failures. Recent opens cover the delay of load reports and limit how fast an empty back end fills up.
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

/** At least this many untried candidates are compared, or all if there are fewer. */
const SAMPLE_SIZE = 8;
/** Weight of recent opens in the score, relative to a weight of 1 for connections. */
const RECENT_OPENS_WEIGHT = 0.1;
/** Upper bound on the new flows of a lightly loaded back end, as a multiple of its fair share. */
const MAX_FILL_RATE = 1.5;
/** Floor of the connection term, as a ratio to the fair share; it enforces `MAX_FILL_RATE`. */
const MIN_CONNECTION_RATIO = 1 - RECENT_OPENS_WEIGHT * (MAX_FILL_RATE - 1);
/** Score added per queued request and slot. Busy slots add nothing, as weighting them makes slot use less even. */
const QUEUE_WEIGHT = 0.05;
/** Score added per recent refusal or timeout. */
const FAILURE_WEIGHT = 0.1;

/** Load figures that the score compares with their fair share. */
interface Shares {
  readonly connectionUtilization: number;
  readonly recentOpens: number;
}

interface Sample extends Shares {
  readonly candidate: PlacementCandidate;
}

/** Chooses the zone by weighted round robin and the back end by its estimated load. */
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
      // Fall back to all zones once every candidate of the zone has been tried.
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

/** Samples untried candidates without replacement; the random order breaks ties. */
function drawSamples(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  context: StepContext,
): Sample[] {
  const samples: Sample[] = [];
  const count = SAMPLE_SIZE + request.triedBackendIds.length;
  for (const position of randomPositions(candidates.length, count, context)) {
    const candidate = candidates[position];
    if (candidate !== undefined && isUntried(candidate, request)) {
      samples.push(sampleOf(candidate, context.nowMs));
    }
  }
  return samples;
}

/** Up to `count` distinct integers below `bound`, in random order (Floyd's algorithm). */
function randomPositions(bound: number, count: number, context: StepContext): readonly number[] {
  const positions: number[] = [];
  for (let last = Math.max(0, bound - count); last < bound; last += 1) {
    const drawn = context.random.nextInt(last + 1);
    const position = positions.includes(drawn) ? last : drawn;
    positions.splice(context.random.nextInt(positions.length + 1), 0, position);
  }
  return positions;
}

function sampleOf(candidate: PlacementCandidate, nowMs: number): Sample {
  const { estimate, judgement } = candidate;
  return {
    candidate,
    connectionUtilization: estimate.connections / estimate.connectionLimit,
    // During slow start a few opens already make up the fair share.
    recentOpens: recentOpens(estimate, nowMs) / slowStartWeight(judgement.slowStartAtMs, nowMs),
  };
}

function fairShares(samples: readonly Sample[]): Shares {
  const utilizations = samples.map(({ connectionUtilization }) => connectionUtilization);
  const minUtilization = MIN_CONNECTION_RATIO * mean(utilizations);
  return {
    // Lightly loaded back ends would pull the mean below the level of the others.
    connectionUtilization: mean(
      utilizations.filter((utilization) => utilization >= minUtilization),
    ),
    recentOpens: mean(samples.map(({ recentOpens: opens }) => opens)),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function scoreOf(sample: Sample, fair: Shares, nowMs: number): number {
  const connections = ratioToFair(sample.connectionUtilization, fair.connectionUtilization);
  const queuedPerSlot = Math.max(0, sample.candidate.estimate.slotUtilization - 1);
  const opens = ratioToFair(sample.recentOpens, fair.recentOpens);
  const failures = recentFailures(sample.candidate.estimate, nowMs);
  return (
    Math.max(MIN_CONNECTION_RATIO, connections) +
    RECENT_OPENS_WEIGHT * opens +
    QUEUE_WEIGHT * queuedPerSlot +
    FAILURE_WEIGHT * failures
  );
}

function ratioToFair(value: number, fair: number): number {
  return fair === 0 ? 1 : value / fair;
}
