/**
 * @file Which balancers there are: each control machine tells the others which ones it feeds, and tells
 * those that it feeds which ones came and went.
 */
import { formatAddress } from '../../shared/common/address.js';
import type { GroupEffect } from './group-events.js';
import type { BalancerInfo, PeerMessage } from './group-messages.js';
import { otherMembers, type GroupState } from './group-state.js';

type BalancersMessage = Extract<PeerMessage, { readonly type: 'balancers' }>;

/** Time between two lists of balancers to the other control machines. */
const SHARE_BALANCERS_INTERVAL_MS = 1_000;
/** A list of balancers of another control machine counts for so long. */
const BALANCERS_LIFETIME_MS = 4_000;

/**
 * Notes that a balancer came or went here: all others hear of it with the next tick.
 */
export function noteBalancersChanged(state: GroupState): void {
  state.areBalancersChanged = true;
  state.nextBalancersShareAtMs = Number.NEGATIVE_INFINITY;
}

/**
 * Tells the other control machines which balancers are fed here: now and then, and soon after a change.
 */
export function shareBalancers(state: GroupState, nowMs: number): GroupEffect[] {
  if (nowMs < state.nextBalancersShareAtMs) {
    return [];
  }
  state.nextBalancersShareAtMs = nowMs + SHARE_BALANCERS_INTERVAL_MS;
  const balancers = [...state.subscribers.values()].map(({ balancer }) => balancer);
  const { linkAddress: sender, zone } = state.options;
  return otherMembers(state).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message: { type: 'balancers', sender, zone, balancers },
  }));
}

/**
 * Takes the balancers that another control machine feeds, and where that machine runs.
 */
export function applyPeerBalancers(
  state: GroupState,
  { sender: address, zone, balancers }: BalancersMessage,
  nowMs: number,
): void {
  const sender = formatAddress(address);
  if (state.controlZones.get(sender) !== zone) {
    state.controlZones.set(sender, zone);
    state.pendingUpdates.areControlsChanged = true;
  }
  state.peerBalancers.set(sender, { balancers, receivedAtMs: nowMs });
  state.areBalancersChanged = true;
}

/**
 * Forgets the balancers of control machines that have been silent for long.
 */
export function forgetSilentPeers(state: GroupState, nowMs: number): void {
  for (const [sender, { receivedAtMs }] of state.peerBalancers) {
    if (nowMs - receivedAtMs > BALANCERS_LIFETIME_MS) {
      state.peerBalancers.delete(sender);
      state.areBalancersChanged = true;
      // Balancers are not sent to a machine that may be gone.
      state.controlZones.delete(sender);
      state.pendingUpdates.areControlsChanged = true;
    }
  }
}

/**
 * Publishes the balancers that are known now.
 * @returns the names of those that came, went, or moved since they were published last
 */
export function publishBalancers(state: GroupState): string[] {
  if (!state.areBalancersChanged) {
    return [];
  }
  state.areBalancersChanged = false;
  const before = state.publishedBalancers;
  const balancers = allBalancers(state);
  state.publishedBalancers = balancers;
  const came = [...balancers.values()].filter(
    (info) => !isSameBalancer(info, before.get(info.name)),
  );
  const lost = [...before.keys()].filter((name) => !balancers.has(name));
  return [...came.map(({ name }) => name), ...lost];
}

function allBalancers(state: GroupState): ReadonlyMap<string, BalancerInfo> {
  const own = [...state.subscribers.values()].map(({ balancer }) => balancer);
  const others = [...state.peerBalancers.values()].flatMap(({ balancers }) => balancers);
  return new Map([...own, ...others].map((info) => [info.name, info]));
}

function isSameBalancer(one: BalancerInfo, other: BalancerInfo | undefined): boolean {
  return (
    one.zone === other?.zone &&
    one.peerAddress.host === other.peerAddress.host &&
    one.peerAddress.port === other.peerAddress.port
  );
}
