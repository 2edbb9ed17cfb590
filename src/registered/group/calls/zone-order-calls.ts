/**
 * @file Handles zone orders of operators. An order carries no time, so orders that are read shortly after a pause of this
 * process are refused: the operator may have given a newer order to another machine meanwhile. Later delays are harmless,
 * because the order names the number of orders that this machine knew for the zone (zone-orders.ts).
 */
import type { GroupEffect, GroupEvent, GroupReply } from '../group-events.js';
import type { GroupState } from '../group-state.js';
import { startCall, type CallState } from './leader-requests.js';
import type { RunConsensus } from './leader-replies.js';
import { isCurrent } from '../leadership.js';

type ZoneOrderCall = Extract<GroupEvent, { readonly type: 'order-zone' }>;

/** State that orders are validated against. */
type ZoneOrderState = CallState & Pick<GroupState, 'balancers' | 'stallDetector'>;

/**
 * Handles an order: forwards it to the leader, or replies `unknown-zone` or `unavailable`.
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
  if (state.stallDetector.freshnessAt(nowMs) !== 'fresh') {
    const reason = 'This process was paused a moment ago, so the order may be outdated.';
    return [{ type: 'reply', requestId, reply: { type: 'unavailable', reason } }];
  }
  const order = { zone, kind, afterOrders: state.replicated.zones.statusOf(zone).orders };
  const command = { type: 'order-zone', order } as const;
  return startCall(state, requestId, { type: 'command', command }, nowMs, run);
}

function hasZone({ options, balancers, replicated }: ZoneOrderState, zone: string): boolean {
  const isInZone = (other: { readonly zone: string }) => other.zone === zone;
  return (
    options.zones.includes(zone) ||
    options.zone === zone ||
    balancers.hasControlIn(zone) ||
    [...balancers.published.values()].some(isInZone) ||
    [...replicated.allBackends()].some(isInZone)
  );
}

/** A machine that is not current may lack zones, so its reply lets the client try another machine. */
function unknownZone(state: ZoneOrderState, zone: string, nowMs: number): GroupReply {
  return isCurrent(state, nowMs)
    ? { type: 'unknown-zone', zone }
    : {
        type: 'unavailable',
        reason: `Zone ${zone} is unknown to this machine, which has no current leader.`,
      };
}
