/**
 * @file Smooth weighted round-robin over the target services of a route. Each balancer keeps its own credits,
 * so the weights hold at each of them.
 */
import type { WeightedTarget } from '../declared/declared-config.js';

/** Weighted round-robin of one route. */
export interface WeightedRoundRobin {
  /** @returns the service of the next flow; undefined if all weights are 0 */
  next(): string | undefined;
  /** @returns true if the targets have the same services and weights, in the same order */
  hasTargets(targets: readonly WeightedTarget[]): boolean;
}

interface WeightedShare {
  readonly service: string;
  readonly weight: number;
  credit: number;
}

/** @param targets services with their weights; those with weight 0 get no flows */
export function createWeightedRoundRobin(targets: readonly WeightedTarget[]): WeightedRoundRobin {
  const positiveTargets = withPositiveWeight(targets);
  const scale = scaleOf(positiveTargets);
  const shares: readonly WeightedShare[] = positiveTargets.map(({ service, weight }) => ({
    service,
    weight: weight / scale,
    credit: 0,
  }));
  const totalWeight = shares.reduce((sum, { weight }) => sum + weight, 0);

  return { next, hasTargets };

  function next(): string | undefined {
    let chosen: WeightedShare | undefined;
    for (const share of shares) {
      share.credit += share.weight;
      chosen = chosen === undefined || share.credit > chosen.credit ? share : chosen;
    }
    if (chosen !== undefined) {
      chosen.credit -= totalWeight;
    }
    return chosen?.service;
  }

  function hasTargets(others: readonly WeightedTarget[]): boolean {
    const compared = withPositiveWeight(others);
    return (
      shares.length === compared.length &&
      compared.every(({ service, weight }, index) => {
        const share = shares[index];
        return share?.service === service && share.weight === weight / scale;
      })
    );
  }
}

/** @returns the divisor by which the sum of the weights is finite */
function scaleOf(targets: readonly WeightedTarget[]): number {
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  return Number.isFinite(totalWeight)
    ? 1
    : targets.reduce((most, { weight }) => Math.max(most, weight), 1);
}

function withPositiveWeight(targets: readonly WeightedTarget[]): readonly WeightedTarget[] {
  return targets.filter(({ weight }) => weight > 0);
}
