/**
 * @file How heartbeats and departures of back ends are handled.
 *
 * A heartbeat is accepted by any machine that is current, and takes no entry of the log. A departure is acknowledged
 * once it is committed, since it is final: a back end may end once it has the reply, and must get no new flow after any
 * restart. Departures that are committed already need no leader.
 */
import { formatAddress } from '../../../shared/common/address.js';
import {
  isLaterDeparture,
  type BackendRecord,
  type Departure,
} from '../../registry/backend-record.js';
import type { GroupEffect, GroupEvent, RequestId } from '../group-events.js';
import type { AgedRecord } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { applyHeartbeat } from '../backends/heartbeats.js';
import { accepted, unavailable, type RunConsensus } from './leader-replies.js';
import { startCall, type CallState } from './leader-requests.js';
import { isCurrent } from '../leadership.js';

/** What calls of back ends read and change. */
export type BackendCallState = CallState &
  Pick<GroupState, 'heartbeats' | 'readmissions' | 'registry' | 'updates'>;

/**
 * Handles a heartbeat that came in here; one of a back end that is draining records its departure, too.
 */
export function handleHeartbeat(
  state: BackendCallState,
  { requestId, record, isDraining }: Extract<GroupEvent, { type: 'heartbeat' }>,
  nowMs: number,
  run: RunConsensus,
): GroupEffect[] {
  if (!isCurrent(state, nowMs)) {
    return [unavailable(requestId, 'This machine follows no leader.')];
  }
  const decisions = registrationDecision(state, record);
  const aged: AgedRecord = { record, ageMs: 0 };
  if (applyHeartbeat(state, aged, nowMs)) {
    state.heartbeats.addToShare(aged);
  }
  if (isDraining) {
    const departure = { backendId: record.id, kind: 'draining' } as const;
    return [...decisions, ...handleDeparture(state, requestId, departure, nowMs, run)];
  }
  return [...decisions, accepted(requestId)];
}

/** One line for each start of a back end that sends its first heartbeat here. */
function registrationDecision(
  { registry }: Pick<GroupState, 'registry'>,
  record: BackendRecord,
): GroupEffect[] {
  if (registry.get(record.id) !== undefined) {
    return [];
  }
  const { id, service, zone, address, capacity, warmUpLeftMs } = record;
  const fields = {
    backend: id,
    service,
    zone,
    address: formatAddress(address),
    capacity,
    warmUpLeftMs,
    supersedes: registry.holderOf(address),
  };
  return [{ type: 'decision', name: 'backend registered', fields }];
}

/**
 * Brings a departure to the leader, unless it is committed already.
 */
export function handleDeparture(
  state: CallState,
  requestId: RequestId,
  departure: Departure,
  nowMs: number,
  run: RunConsensus,
): GroupEffect[] {
  const known = state.replicated.departureOf(departure.backendId);
  if (!isLaterDeparture(departure.kind, known)) {
    return [accepted(requestId)];
  }
  const command = { type: 'note-departure', departure } as const;
  return startCall(state, requestId, { type: 'command', command }, nowMs, run);
}
