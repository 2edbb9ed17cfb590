/**
 * @file Which start of a back end does a departure end?
 *
 * Inputs: the ID that the departure names, the registry of heartbeats, the replicated state, and the time and the
 * heartbeat interval in milliseconds. Returns the start, or why none is ended; the call is not acknowledged then.
 *
 * - An ID that names a start ends that start, and no later one.
 * - One that names the back end alone ends its current start. But a start whose first heartbeat came within
 *   NEW_START_INTERVALS hardly leaves: where the start before it is known, the departure may be one of that start which was
 *   held up on its way. Then the call is refused for now. Whoever runs sends it again, and is believed once the start is
 *   older; what was held up is not sent again. So neither is a back end that leaves acknowledged and given flows, nor one
 *   that has just come taken out for good.
 * - Where nothing is known of the back end there is nothing to end.
 *
 * Tests: test/registered/group/departing-start, test/registered/ingress/restarted-backend. Log line: `departure`; refused
 * are calls `deregister unavailable` in `amberlift_group_calls_total`.
 */
import { isLaterStart, startOf } from '../../registry/backend-start.js';
import type { GroupState } from '../group-state.js';

/** What the choice goes by. */
type DepartingState = Pick<GroupState, 'options' | 'registry' | 'replicated'>;

/** Which start a departure ends. */
export type DepartingStart =
  | { readonly type: 'start'; readonly id: string }
  /** It may be of the start before the current one. */
  | { readonly type: 'doubtful' }
  /** Nothing is known of the back end. */
  | { readonly type: 'unknown' };

/**
 * Heartbeat intervals for which a start counts as new. A call is given up by its sender after a second and sent again for
 * some seconds, so what is held up comes within two intervals of some 1.2 s. Not measured; too long would show as back
 * ends that end without an acknowledgement soon after their start.
 */
const NEW_START_INTERVALS = 2;

/** @returns the start that a departure ends */
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
  return isNew(state, current, nowMs) && hasStartBefore(state, current)
    ? { type: 'doubtful' }
    : { type: 'start', id: current };
}

function isNew({ registry, options }: DepartingState, id: string, nowMs: number): boolean {
  const firstHeartbeatAtMs = registry.get(id)?.firstHeartbeatAtMs ?? Number.NEGATIVE_INFINITY;
  return nowMs - firstHeartbeatAtMs < NEW_START_INTERVALS * options.heartbeatIntervalMs;
}

function hasStartBefore({ registry, replicated }: DepartingState, current: string): boolean {
  const start = startOf(current);
  const heard = [...registry.all()].map(({ record }) => record.id);
  return [...heard, ...replicated.startsOf(start.backend)]
    .map(startOf)
    .some((other) => other.backend === start.backend && isLaterStart(start, other));
}

/** Of those that the registry has forgotten: the one that began last. */
function latestStart({ replicated }: DepartingState, backend: string): string | undefined {
  const [first, ...others] = replicated.startsOf(backend);
  return others.reduce(
    (latest, id) =>
      latest === undefined || isLaterStart(startOf(id), startOf(latest)) ? id : latest,
    first,
  );
}
