/**
 * @file Applies heartbeats and forwards them. Each new heartbeat received from a back end is sent to all other control
 * machines on the next tick, because each of them detects silence for the balancers that it feeds. Balancers get a
 * heartbeat only if it changes the record, or for some time after the zone was readmitted, to limit traffic.
 */
import type { BackendRecord } from '../../registry/backend-record.js';
import type { GroupEffect } from '../group-events.js';
import type { AgedRecord } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { isCurrent, otherMembers } from '../leadership.js';

/**
 * After a readmission, balancers ignore heartbeats for two intervals, because a retried one may be older. Two more
 * intervals tolerate one lost heartbeat, and the half covers jitter.
 */
const READMISSION_FORWARDING_INTERVALS = 4.5;

/**
 * Applies a heartbeat and queues it for balancers if they need it.
 * @returns false if a later heartbeat was already applied
 */
export function applyHeartbeat(
  state: Pick<GroupState, 'options' | 'readmissions' | 'registry' | 'updates'>,
  aged: AgedRecord,
  nowMs: number,
): boolean {
  const outcome = state.registry.apply(aged.record, nowMs - aged.ageMs);
  if (
    outcome === 'changed' ||
    (outcome === 'alive' && isRecentlyReadmitted(state, aged.record, nowMs))
  ) {
    state.updates.addRegistered(aged.record.id);
  }
  return outcome !== 'late';
}

/** Balancers treat back ends of a readmitted zone as cold until they get a heartbeat. */
function isRecentlyReadmitted(
  { readmissions, options }: Pick<GroupState, 'options' | 'readmissions'>,
  { zone }: BackendRecord,
  nowMs: number,
): boolean {
  const ageMs = readmissions.ageMs(zone, nowMs) ?? Number.POSITIVE_INFINITY;
  return ageMs <= READMISSION_FORWARDING_INTERVALS * options.heartbeatIntervalMs;
}

/**
 * Sends the queued heartbeats to the other control machines. Once balancers share evidence, messages are numbered and
 * sent also without heartbeats, while this machine accepts them.
 */
export function shareHeartbeats(
  state: Pick<GroupState, 'consensus' | 'heartbeats' | 'options' | 'suspicions'>,
  nowMs: number,
): GroupEffect[] {
  const { contact } = state.heartbeats;
  const records = state.heartbeats.takeQueued();
  const isNumbered = state.suspicions.totals.isInUse() && isCurrent(state, nowMs);
  if (records.length === 0 && !(isNumbered && contact.isMessageDue(nowMs))) {
    return [];
  }
  const number = isNumbered
    ? { sender: state.options.linkAddress, sequence: contact.takeSequence(nowMs) }
    : {};
  return otherMembers(state).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message: { type: 'heartbeats', records, ...number },
  }));
}
