/**
 * @file Which service takes the next flow of a route?
 *
 * - Inputs: the targets of the route with their weights (whole numbers; those with 0 get nothing).
 * - Returns: a service, by smooth weighted round-robin: each turn adds its weight to the credit of each target, the one
 *   with the highest credit is next and pays the sum of all weights. Of equal ones the first is next.
 * - Reason: flows keep the weights exactly over each round and the turns of a target are spread over it, without any
 *   random draw. Each balancer keeps its own credits, so the weights hold at each of them.
 *
 * The line `placed` names the service.
 */
import type { WeightedTarget } from '../declared/declared-config.js';

/** The turns of one route. */
export interface WeightedRoundRobin {
  /** @returns the service of the next flow; undefined where no target has a weight */
  next(): string | undefined;
  /** @returns true where these targets have the same services and weights, in the same order */
  hasTargets(targets: readonly WeightedTarget[]): boolean;
}

interface WeightedShare {
  readonly service: string;
  readonly weight: number;
  credit: number;
}

/** @returns turns in which no target has any credit yet */
export function createWeightedRoundRobin(targets: readonly WeightedTarget[]): WeightedRoundRobin {
  const shares: readonly WeightedShare[] = weighted(targets).map(({ service, weight }) => ({
    service,
    weight,
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
    const compared = weighted(others);
    return (
      shares.length === compared.length &&
      compared.every(({ service, weight }, index) => {
        const share = shares[index];
        return share?.service === service && share.weight === weight;
      })
    );
  }
}

function weighted(targets: readonly WeightedTarget[]): readonly WeightedTarget[] {
  return targets.filter(({ weight }) => weight > 0);
}
