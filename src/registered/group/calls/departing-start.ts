/**
 * @file Decides which start of a back end a departure ends.
 *
 * - A start ID ends that start only.
 * - A plain name ends the current start. If that start is new and an earlier one is known, the departure may be a delayed
 *   one of the earlier start, so the call is refused. A back end that is really leaving retries until its start is old enough.
 * - A departure of an unknown back end is refused.
 */
import { isLaterStart, startOf } from '../../registry/backend-start.js';
import type { GroupState } from '../group-state.js';

/** State that the decision depends on. */
type DepartingState = Pick<GroupState, 'options' | 'registry' | 'replicated'>;

/** Start that a departure ends, or why there is none. */
export type DepartingStart =
  | { readonly type: 'start'; readonly id: string }
  /** The departure may belong to an earlier start than the current one. */
  | { readonly type: 'ambiguous' }
  /** The back end is not known. */
  | { readonly type: 'unknown' };

/** Heartbeat intervals for which a start counts as new; longer than a delayed call stays in transit. */
const NEW_START_INTERVALS = 2;

/** @returns the start that a departure ends, or why it ends none */
export function departingStart(
  state: DepartingState,
  backendId: string,
  nowMs: number,
): DepartingStart {
  const { backend, startedAtMs } = startOf(backendId);
  if (startedAtMs !== undefined) {
    return { type: 'start', id: backendId };
  }
  const current = state.registry.currentStartOf(backend) ?? latestStart(state, backend);
  if (current === undefined) {
    return { type: 'unknown' };
  }
  return isNew(state, current, nowMs) && hasEarlierStart(state, current)
    ? { type: 'ambiguous' }
    : { type: 'start', id: current };
}

function isNew({ registry, options }: DepartingState, id: string, nowMs: number): boolean {
  const firstHeartbeatAtMs = registry.get(id)?.firstHeartbeatAtMs ?? Number.NEGATIVE_INFINITY;
  return nowMs - firstHeartbeatAtMs < NEW_START_INTERVALS * options.heartbeatIntervalMs;
}

function hasEarlierStart({ registry, replicated }: DepartingState, current: string): boolean {
  const start = startOf(current);
  const idsInRegistry = [...registry.all()].map(({ record }) => record.id);
  return [...idsInRegistry, ...replicated.startsOf(start.backend)]
    .map(startOf)
    .some((other) => other.backend === start.backend && isLaterStart(start, other));
}

/** @returns the latest start in the replicated state, for a back end without one in the registry */
function latestStart({ replicated }: DepartingState, backend: string): string | undefined {
  const [first, ...others] = replicated.startsOf(backend);
  return others.reduce(
    (latest, id) =>
      latest === undefined || isLaterStart(startOf(id), startOf(latest)) ? id : latest,
    first,
  );
}
