/**
 * @file Does this machine accept an operator's order for a zone?
 *
 * Inputs: the zone, the kind of order, the time in milliseconds, and when this process last stood still. Returns
 * effects: the order goes to the leader, or is answered `unknown-zone` or `unavailable`.
 *
 * An order carries no time. One that waited while this process stood still may be older than what its sender has
 * ordered at another machine meanwhile, so orders that are read within a moment after a pause are refused; the sender
 * goes on to another machine within a second. Behind this machine the order can't be late: it names the number of
 * orders for the zone that are known here, and zone-orders.ts refuses one that does not follow the last (the ways
 * weighed: docs/design/zones-and-slow-start.md). Log lines: `zone evacuated`, `zone readmitted`,
 * `order outdated`.
 */
import type { GroupEffect, GroupEvent, GroupReply } from '../group-events.js';
import type { GroupState } from '../group-state.js';
import { startCall, type CallState } from './leader-requests.js';
import type { RunConsensus } from './leader-replies.js';
import { isCurrent } from '../leadership.js';

type ZoneOrderCall = Extract<GroupEvent, { readonly type: 'order-zone' }>;

/** What an order is checked against. */
type ZoneOrderState = CallState & Pick<GroupState, 'balancers' | 'stallGuard'>;

/**
 * Handles the order of an operator.
 */
export function orderZone(
  state: ZoneOrderState,
  { requestId, zone, kind }: ZoneOrderCall,
  nowMs: number,
  run: RunConsensus,
): GroupEffect[] {
  if (!hasZone(state, zone)) {
    return [{ type: 'reply', requestId, reply: unknownZone(state, zone, nowMs) }];
  }
  if (state.stallGuard.freshnessAt(nowMs) !== 'fresh') {
    const reason = 'This process stood still a moment ago: the order may be old.';
    return [{ type: 'reply', requestId, reply: { type: 'unavailable', reason } }];
  }
  const order = { zone, kind, afterOrders: state.replicated.zones.statusOf(zone).orders };
  const command = { type: 'order-zone', order } as const;
  return startCall(state, requestId, { type: 'command', command }, nowMs, run);
}

function hasZone({ options, balancers, replicated }: ZoneOrderState, zone: string): boolean {
  const runsThere = (other: { readonly zone: string }) => other.zone === zone;
  return (
    options.zones.includes(zone) ||
    options.zone === zone ||
    balancers.hasControlIn(zone) ||
    [...balancers.published.values()].some(runsThere) ||
    [...replicated.allBackends()].some(runsThere)
  );
}

/** A machine that has just started, or is cut off, knows of no other zone yet: the order goes to another machine. */
function unknownZone(state: ZoneOrderState, zone: string, nowMs: number): GroupReply {
  return isCurrent(state, nowMs)
    ? { type: 'unknown-zone', zone }
    : { type: 'unavailable', reason: `Zone ${zone} is not known here, which may change.` };
}
