/**
 * @file The placement policies by name.
 */
import { match } from 'ts-pattern';
import type { PlacementPolicyName } from '../control/cluster-state.js';
import type { PlacementPolicy } from './placement-policy.js';
import { RandomPolicy } from './random-policy.js';

/**
 * @returns a new policy of that name
 */
export function createPolicy(name: PlacementPolicyName): PlacementPolicy {
  return match(name)
    .with('random', 'maglev', 'least-reported', 'adaptive', () => new RandomPolicy())
    .exhaustive();
}
