/**
 * @file Which heartbeats are passed on, and to whom?
 *
 * Every heartbeat that came in here, and that is later than what was known, goes to all other control machines with the
 * next tick: each of them detects silence for the balancers that it feeds. A balancer is sent a heartbeat only where it
 * changes something, so that its link does not carry each one (docs/design/registered-placement.md), and for a while
 * after the zone of the back end was readmitted. Which heartbeats are late is decided in
 * registry/heartbeat-registry.ts.
 */
import type { BackendRecord } from '../../registry/backend-record.js';
import type { GroupEffect } from '../group-events.js';
import type { AgedRecord } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { otherMembers } from '../leadership.js';

/**
 * Balancers disregard heartbeats of the first two intervals after a zone was readmitted, since a heartbeat that is sent
 * again may be older than the readmission (docs/design/zones-and-slow-start.md); of the next two one comes,
 * also where one is lost. The half is for their jitter. Not measured; too short would show as back ends that balancers
 * count as cold for long.
 */
const WARMTH_AWAITED_INTERVALS = 4.5;

/**
 * Applies a heartbeat; balancers are sent it only where it changes something, or where they wait for it.
 * @returns false where a later one was known
 */
export function applyHeartbeat(
  state: Pick<GroupState, 'options' | 'readmissions' | 'registry' | 'updates'>,
  aged: AgedRecord,
  nowMs: number,
): boolean {
  const outcome = state.registry.apply(aged.record, nowMs - aged.ageMs);
  if (
    outcome === 'changed' ||
    (outcome === 'alive' && isWarmthAwaited(state, aged.record, nowMs))
  ) {
    state.updates.addRegistered(aged.record.id);
  }
  return outcome !== 'late';
}

/** Balancers count the back ends of a zone that was readmitted as cold until a heartbeat says otherwise. */
function isWarmthAwaited(
  { readmissions, options }: Pick<GroupState, 'options' | 'readmissions'>,
  { zone }: BackendRecord,
  nowMs: number,
): boolean {
  const ageMs = readmissions.ageMs(zone, nowMs) ?? Number.POSITIVE_INFINITY;
  return ageMs <= WARMTH_AWAITED_INTERVALS * options.heartbeatIntervalMs;
}

/**
 * Sends the other control machines the heartbeats that came in here.
 */
export function shareHeartbeats(
  state: Pick<GroupState, 'consensus' | 'heartbeats'>,
): GroupEffect[] {
  const records = state.heartbeats.takeToShare();
  if (records.length === 0) {
    return [];
  }
  return otherMembers(state).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message: { type: 'heartbeats', records },
  }));
}
