/**
 * @file Handles heartbeats and departures of back ends. Heartbeats are accepted by any current machine and append
 * no log entry. Departures are acknowledged after they are committed, because a back end may stop right after the
 * acknowledgement; those that are already committed need no leader.
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
import { startOf } from '../../registry/backend-start.js';
import { admitsBackend } from '../backends/backend-admission.js';
import { applyHeartbeat } from '../backends/heartbeats.js';
import { departingStart } from './departing-start.js';
import { accepted, unavailable, type RunConsensus } from './leader-replies.js';
import { startCall, type CallState } from './leader-requests.js';
import { isCurrent, otherMembers } from '../leadership.js';

/** A machine without contact to the others for longer cannot announce a restart. */
const MAX_MISSED_LEADER_HEARTBEATS = 2;

/** State that calls of back ends read and change. */
type BackendCallState = CallState &
  Pick<GroupState, 'configs' | 'heartbeats' | 'readmissions' | 'registry' | 'updates'>;

/**
 * Handles a heartbeat of a back end. If the back end is draining, this also records its departure.
 */
export function handleHeartbeat(
  state: BackendCallState,
  { requestId, record, isDraining }: Extract<GroupEvent, { type: 'heartbeat' }>,
  nowMs: number,
  run: RunConsensus,
): GroupEffect[] {
  if (!isCurrent(state, nowMs)) {
    return [unavailable(requestId, 'This machine has no current leader.')];
  }
  if (!admitsBackend(state, record)) {
    return [
      unavailable(requestId, `The service ${record.service} is not in the current configuration.`),
    ];
  }
  if (isRestart(state, record) && !hearsOthers(state, nowMs)) {
    return [unavailable(requestId, 'This machine may be cut off and cannot announce a restart.')];
  }
  const decisions = registrationDecision(state, record);
  const aged: AgedRecord = { record, ageMs: 0 };
  if (applyHeartbeat(state, aged, nowMs)) {
    state.heartbeats.enqueue(aged);
  }
  if (state.registry.isSupersededByOtherStart(record.id)) {
    return [...decisions, unavailable(requestId, 'Another start of this back end is current.')];
  }
  if (isDraining) {
    const departure = { backendId: record.id, kind: 'draining' } as const;
    return [...decisions, ...handleDeparture(state, requestId, departure, nowMs, run)];
  }
  return [...decisions, accepted(requestId)];
}

/** @returns true if this is the first heartbeat of a later start of a known back end */
function isRestart({ registry }: Pick<GroupState, 'registry'>, { id }: BackendRecord): boolean {
  const isKnown = registry.get(id) !== undefined;
  return !isKnown && registry.currentStartOf(startOf(id).backend) !== undefined;
}

/**
 * A restarted back end is cold, and flows reach it by its earlier start until others learn of the restart. A machine whose
 * links have just fallen silent still counts as current, so it leaves the registration to another one. A single voter is
 * cut off from no other one, whether or not its learners answer.
 */
function hearsOthers(state: BackendCallState, nowMs: number): boolean {
  const { heartbeatIntervalMs } = state.consensus.options;
  const silentMs = nowMs - state.heartbeats.lastPeerMessageAtMs;
  return (
    otherMembers(state).every(({ role }) => role !== 'voter') ||
    silentMs <= MAX_MISSED_LEADER_HEARTBEATS * heartbeatIntervalMs
  );
}

/** Log line for the first heartbeat of a start. */
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
    follows: registry.currentStartOf(startOf(id).backend),
  };
  return [{ type: 'decision', name: 'backend registered', fields }];
}

/**
 * Handles the deregistration of a back end.
 * @param backendId ID of the start, or the plain name of the back end
 */
export function handleDeregistration(
  state: BackendCallState,
  requestId: RequestId,
  backendId: string,
  nowMs: number,
  run: RunConsensus,
): GroupEffect[] {
  const departing = departingStart(state, backendId, nowMs);
  switch (departing.type) {
    case 'start': {
      const departure = { backendId: departing.id, kind: 'gone' } as const;
      return handleDeparture(state, requestId, departure, nowMs, run);
    }
    case 'ambiguous':
      return [
        unavailable(
          requestId,
          'The back end has just restarted: this deregistration may be meant for its previous start.',
        ),
      ];
    case 'unknown':
      return [unavailable(requestId, 'This back end is not registered.')];
  }
}

/**
 * Sends a departure to the leader, unless it is already committed.
 */
function handleDeparture(
  state: CallState,
  requestId: RequestId,
  departure: Departure,
  nowMs: number,
  run: RunConsensus,
): GroupEffect[] {
  const recordedKind = state.replicated.departureOf(departure.backendId);
  if (!isLaterDeparture(departure.kind, recordedKind)) {
    return [accepted(requestId)];
  }
  const command = { type: 'note-departure', departure } as const;
  return startCall(state, requestId, { type: 'command', command }, nowMs, run);
}
