/**
 * @file Exchanges balancer lists between control machines: each sends the balancers that are connected to it.
 */
import { formatAddress } from '../../../shared/common/address.js';
import type { GroupEffect } from '../group-events.js';
import type { PeerMessage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { otherMembers } from '../leadership.js';

type BalancerListState = Pick<GroupState, 'balancers' | 'updates'>;
type BalancersMessage = Extract<PeerMessage, { readonly type: 'balancers' }>;

/**
 * Sends the list of connected balancers to the other control machines: once a second, and in the tick after a change.
 */
export function shareBalancers(
  state: Pick<GroupState, 'balancers' | 'consensus' | 'options' | 'subscribers'>,
  nowMs: number,
): GroupEffect[] {
  if (!state.balancers.startSharing(nowMs)) {
    return [];
  }
  const balancers = [...state.subscribers.values()].map(({ balancer }) => balancer);
  const { linkAddress: sender, zone } = state.options;
  return otherMembers(state).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message: { type: 'balancers', sender, zone, balancers },
  }));
}

/**
 * Applies the balancer list and the zone of another control machine.
 */
export function applyPeerBalancers(
  { balancers: balancerList, updates }: BalancerListState,
  { sender, zone, balancers }: BalancersMessage,
  nowMs: number,
): void {
  if (balancerList.applyPeerList(formatAddress(sender), zone, balancers, nowMs)) {
    updates.markControlsChanged();
  }
}

/**
 * Removes the balancer lists of control machines that have sent none for the lifetime of a list.
 */
export function removeSilentPeers({ balancers, updates }: BalancerListState, nowMs: number): void {
  if (balancers.removeSilentPeers(nowMs)) {
    updates.markControlsChanged();
  }
}
