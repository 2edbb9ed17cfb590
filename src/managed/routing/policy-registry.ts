/**
 * @file Creates placement policies by their configured name.
 */
import { match } from 'ts-pattern';
import type { PlacementPolicyName } from '../control/routing-config.js';
import { AdaptivePolicy } from './adaptive-policy.js';
import { LeastReportedPolicy } from './least-reported-policy.js';
import { MaglevPolicy } from './maglev-policy.js';
import type { PlacementPolicy } from './placement-policy.js';
import { RandomPolicy } from './random-policy.js';

/**
 * @returns a new instance, with state of its own
 */
export function createPolicy(name: PlacementPolicyName): PlacementPolicy {
  return match(name)
    .with('random', () => new RandomPolicy())
    .with('maglev', () => new MaglevPolicy())
    .with('least-reported', () => new LeastReportedPolicy())
    .with('adaptive', () => new AdaptivePolicy())
    .exhaustive();
}
