/**
 * @file Weighted random choice by speed among the candidates with the least load. Reported loads are out of
 * date, so if all balancers chose the best back end by them, they would overload it; weighted random choice
 * avoids that herd effect. The own load of one balancer of many is no guide: it has less than one request at each back end.
 */
import { slotsOf, type KnownBackend } from '../ingress/known-backend.js';
import type { SpeedWeights } from './service-estimates.js';

interface ChoiceContext {
  /** 32 bits; the same hash chooses the same back end. */
  readonly flowHash: number;
  readonly speeds: SpeedWeights;
  /** @returns the load of a back end per slot, as `LoadPerSlot` defines it */
  readonly loadOf: (backend: KnownBackend) => number;
}

const HASH_VALUES = 2 ** 32;

/** @returns the chosen back end; undefined if there are no candidates */
export function drawBySpeed(
  candidates: readonly KnownBackend[],
  { flowHash, speeds, loadOf }: ChoiceContext,
): KnownBackend | undefined {
  const loads = candidates.map(loadOf);
  const minLoad = Math.min(...loads);
  const leastLoaded = candidates.filter((_, index) => (loads[index] ?? 0) <= minLoad);
  const weights = leastLoaded.map((backend) => slotsOf(backend) * (speeds.get(backend) ?? 1));
  return leastLoaded[weightedIndexAt(weights, mixHash(flowHash) / HASH_VALUES)];
}

/** @returns the index of the weight at a point from 0 to 1 of their sum */
function weightedIndexAt(weights: readonly number[], point: number): number {
  let remaining = point * weights.reduce((sum, weight) => sum + weight, 0);
  const index = weights.findIndex((weight) => {
    remaining -= weight;
    return remaining < 0;
  });
  return index < 0 ? weights.length - 1 : index;
}

const MIX_SHIFT = 16;
const MIX_FACTOR = 0x45d9f3b;

/** Mixes the bits of a hash, since hashes of similar flows may be close together. */
function mixHash(hash: number): number {
  const once = Math.imul(hash ^ (hash >>> MIX_SHIFT), MIX_FACTOR);
  const twice = Math.imul(once ^ (once >>> MIX_SHIFT), MIX_FACTOR);
  return (twice ^ (twice >>> MIX_SHIFT)) >>> 0;
}
