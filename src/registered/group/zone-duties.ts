/**
 * @file What a control machine does with orders for zones: it takes them from operators, brings them to the leader,
 * and tells the balancers what has changed.
 */
import type { GroupEffect, GroupEvent, GroupReply } from './group-events.js';
import { isCurrent, type GroupState } from './group-state.js';
import { startCall, type RunConsensus } from './leader-requests.js';
import type { ZoneStatus } from './zone-orders.js';

type ZoneOrderCall = Extract<GroupEvent, { readonly type: 'order-zone' }>;

/**
 * Takes an order of an operator. How old it is can't be seen from it. Behind this machine it is bound to the orders
 * known here; before it, it may have waited only while this process stood still, and then it is refused: its sender
 * has gone on to another machine within a second.
 */
export function orderZone(
  state: GroupState,
  { requestId, zone, kind }: ZoneOrderCall,
  nowMs: number,
  run: RunConsensus,
): GroupEffect[] {
  if (!hasZone(state, zone)) {
    return [{ type: 'reply', requestId, reply: unknownZone(state, zone, nowMs) }];
  }
  if (state.stallGuard.trustAt(nowMs) !== 'fresh') {
    const reason = 'This process stood still a moment ago: the order may be old.';
    return [{ type: 'reply', requestId, reply: { type: 'unavailable', reason } }];
  }
  const order = { zone, kind, afterOrders: state.replicated.zones.statusOf(zone).orders };
  const command = { type: 'order-zone', order } as const;
  return startCall(state, requestId, { type: 'command', command }, nowMs, run);
}

/** A machine that has just started, or is cut off, knows of no other zone yet: the order goes to another one. */
function unknownZone(state: GroupState, zone: string, nowMs: number): GroupReply {
  return isCurrent(state, nowMs)
    ? { type: 'unknown-zone', zone }
    : { type: 'unavailable', reason: `Zone ${zone} is not known here, which may change.` };
}

/** Takes a committed order that changed a zone; what was known as committed at the start is not taken again. */
export function recordZoneChange(
  state: GroupState,
  status: ZoneStatus,
  nowMs: number,
): GroupEffect[] {
  const { zone, isEvacuated } = status;
  if (isEvacuated) {
    state.readmittedAtMs.delete(zone);
  } else {
    state.readmittedAtMs.set(zone, nowMs);
  }
  state.pendingUpdates.areZonesChanged = true;
  const name = isEvacuated ? 'zone evacuated' : 'zone readmitted';
  return [{ type: 'decision', name, fields: { zone, orders: status.orders } }];
}

function hasZone(state: GroupState, zone: string): boolean {
  const { options, controlZones, publishedBalancers, replicated } = state;
  const runsThere = (other: { readonly zone: string }) => other.zone === zone;
  return (
    options.zones.includes(zone) ||
    options.zone === zone ||
    [...controlZones.values()].includes(zone) ||
    [...publishedBalancers.values()].some(runsThere) ||
    [...replicated.allBackends()].some(runsThere)
  );
}
