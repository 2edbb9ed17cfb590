/**
 * @file Since when does the silence of a back end count?
 *
 * Inputs: whether this machine is current, the last heartbeat of each back end, the replicated list of back ends, the
 * heartbeat interval and the time, in milliseconds. Effect: liveness changes wait to be sent to balancers. Which
 * silence means suspect or dead is decided in registry/backend-liveness.ts.
 *
 * A control machine that is cut off misses heartbeats that others get, so it detects no silence while it is not
 * current. Once it is current again, silence from before counts for one heartbeat interval at most, and back ends of
 * the replicated list that it does not know count as alive with a heartbeat of one interval ago: a back end that is
 * really gone is then suspect after the usual time less one interval. More than one interval would be unfair to back
 * ends whose next heartbeat is on its way; with none, those that are gone would get flows for longer.
 *
 * Tests: test/registered/group/balancer-feed ("silence while the machine was cut off"), backend-list. Log line at the
 * balancer: `backend judged`.
 */
import type { GroupState } from '../group-state.js';
import { isCurrent } from '../leadership.js';

/** What the update of liveness reads and changes. */
export type LivenessState = Pick<
  GroupState,
  'backendList' | 'consensus' | 'heartbeats' | 'options' | 'registry' | 'replicated' | 'updates'
>;

/**
 * Updates the liveness of all back ends; called with each tick.
 */
export function updateLiveness(state: LivenessState, nowMs: number): void {
  const { registry, options, heartbeats } = state;
  if (state.backendList.startSeeding()) {
    seedRegistry(state, nowMs);
  }
  if (!isCurrent(state, nowMs)) {
    heartbeats.stopListening();
    return;
  }
  if (heartbeats.listeningSinceMs === undefined) {
    heartbeats.startListening(nowMs - options.heartbeatIntervalMs);
    seedRegistry(state, nowMs);
  }
  const listeningSinceMs = heartbeats.listeningSinceMs ?? nowMs;
  const changes = registry.updateLiveness(nowMs, listeningSinceMs);
  changes.forEach(({ backendId }) => state.updates.addLivenessChange(backendId));
}

/** Adds the back ends of the replicated list that the registry lacks: after a start, a snapshot or a cut. */
function seedRegistry(state: LivenessState, nowMs: number): void {
  const ageMs = state.options.heartbeatIntervalMs;
  for (const registered of state.replicated.allBackends()) {
    const record = { ...registered, warmUpLeftMs: 0 };
    if (state.registry.get(record.id) === undefined) {
      state.registry.applyListed(record, nowMs - ageMs);
      state.updates.addRegistered(record.id);
    }
  }
}
