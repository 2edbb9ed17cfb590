/**
 * @file Updates the liveness of back ends with each tick. A machine that is not current may miss heartbeats, so it detects
 * no silence. When it becomes current again, earlier silence counts for at most one heartbeat interval, and listed back
 * ends that it lacks are added with a heartbeat of one interval ago. This gives live back ends time for their next
 * heartbeat, while dead ones are suspected one interval sooner than usual.
 */
import { formatAddress } from '../../../shared/common/address.js';
import { recordSchema } from '../entry-schemas.js';
import type { GroupState } from '../group-state.js';
import { isCurrent, otherMembers } from '../leadership.js';

/** State that liveness updates read and change. */
type LivenessState = Pick<
  GroupState,
  'backendList' | 'consensus' | 'heartbeats' | 'options' | 'registry' | 'replicated' | 'updates'
>;

/**
 * Updates the liveness of all back ends and queues the changes for balancers; called with each tick.
 */
export function updateLiveness(state: LivenessState, nowMs: number): void {
  const { registry, options, heartbeats } = state;
  heartbeats.contact.watch(
    otherMembers(state).map(({ linkAddress }) => formatAddress(linkAddress)),
    nowMs,
  );
  if (state.backendList.startSeeding()) {
    seedRegistry(state, nowMs);
  }
  if (!isCurrent(state, nowMs)) {
    heartbeats.stopListening();
    heartbeats.contact.restart(nowMs);
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

/**
 * Adds listed back ends that the registry lacks, after a start, a snapshot or a partition. Records that no message can carry, as
 * older versions stored them, are left out.
 */
function seedRegistry(state: LivenessState, nowMs: number): void {
  const ageMs = state.options.heartbeatIntervalMs;
  state.heartbeats.contact.restart(nowMs);
  for (const registered of state.replicated.allBackends()) {
    const record = { ...registered, warmUpLeftMs: 0 };
    if (state.registry.get(record.id) === undefined && recordSchema.safeParse(record).success) {
      state.registry.applyListed(record, nowMs - ageMs);
      state.updates.addRegistered(record.id);
    }
  }
}
