/**
 * @file The placement policy `maglev`: consistent hashing of the flow ID. Only a baseline for comparisons, since it
 * ignores load.
 */
import type { StepContext } from '../../shared/common/step.js';
import { buildMaglevTable, lookUpMaglev } from './maglev-table.js';
import {
  isUntried,
  type PlacementCandidate,
  type PlacementPolicy,
  type PlacementRequest,
} from './placement-policy.js';

/** Lookup table of one list of candidates; cached per list, as each service has its own. */
interface DerivedTable {
  readonly table: Int32Array;
  readonly byId: ReadonlyMap<number, PlacementCandidate>;
}

/** Chooses by a hash of the flow ID; retries choose at random among the untried candidates. */
export class MaglevPolicy implements PlacementPolicy {
  readonly name = 'maglev';
  private readonly derived = new WeakMap<readonly PlacementCandidate[], DerivedTable>();

  choose(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    context: StepContext,
  ): PlacementCandidate | undefined {
    if (candidates.length === 0) {
      return undefined;
    }
    const { table, byId } = this.tableFor(candidates);
    const chosen = byId.get(lookUpMaglev(table, request.flowId));
    if (chosen !== undefined && isUntried(chosen, request)) {
      return chosen;
    }
    const untried = candidates.filter((candidate) => isUntried(candidate, request));
    return untried.length === 0 ? undefined : untried[context.random.nextInt(untried.length)];
  }

  private tableFor(candidates: readonly PlacementCandidate[]): DerivedTable {
    const existing = this.derived.get(candidates);
    if (existing !== undefined) {
      return existing;
    }
    const byId = new Map(candidates.map((candidate) => [candidate.backend.id, candidate]));
    const derived = { table: buildMaglevTable([...byId.keys()]), byId };
    this.derived.set(candidates, derived);
    return derived;
  }
}
