/**
 * @file How control machines keep each other's lists of balancers: each sends the others which ones it feeds.
 */
import { formatAddress } from '../../../shared/common/address.js';
import type { GroupEffect } from '../group-events.js';
import type { PeerMessage } from '../group-messages.js';
import type { GroupState } from '../group-state.js';
import { otherMembers } from '../leadership.js';

type BalancerListState = Pick<GroupState, 'balancers' | 'updates'>;
type BalancersMessage = Extract<PeerMessage, { readonly type: 'balancers' }>;

/**
 * Sends the other control machines the balancers that are fed here: once a second, and with the tick after a change.
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
 * Applies the list of balancers that another control machine feeds, and where that machine runs.
 */
export function applyPeerBalancers(
  { balancers: list, updates }: BalancerListState,
  { sender, zone, balancers }: BalancersMessage,
  nowMs: number,
): void {
  if (list.applyPeerList(formatAddress(sender), zone, balancers, nowMs)) {
    updates.addControls();
  }
}

/**
 * Forgets the balancers of control machines that have been silent for long.
 */
export function forgetSilentPeers({ balancers, updates }: BalancerListState, nowMs: number): void {
  if (balancers.forgetSilentPeers(nowMs)) {
    updates.addControls();
  }
}
