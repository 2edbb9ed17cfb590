/**
 * @file Which balancers there are: each control machine tells the others which ones it feeds, and tells
 * those that it feeds which ones came and went.
 */
import type { GroupEffect } from './group-events.js';
import type { BalancerInfo } from './group-messages.js';
import { otherMembers, type GroupState } from './group-state.js';

/** Time between two lists of balancers to the other control machines. */
const SHARE_BALANCERS_INTERVAL_MS = 1_000;
/** A list of balancers of another control machine counts for so long. */
const BALANCERS_LIFETIME_MS = 4_000;

/** How the balancers differ from those that were told. */
export interface BalancerChanges {
  readonly added: readonly BalancerInfo[];
  readonly lost: readonly string[];
}

const NO_CHANGES: BalancerChanges = { added: [], lost: [] };

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
  const sender = state.options.linkAddress;
  return otherMembers(state).map(({ linkAddress: to }) => ({
    type: 'send-peer',
    to,
    message: { type: 'balancers', sender, balancers },
  }));
}

/**
 * Takes the balancers that another control machine feeds.
 */
export function takeBalancers(
  state: GroupState,
  sender: string,
  balancers: readonly BalancerInfo[],
  nowMs: number,
): void {
  state.peerBalancers.set(sender, { balancers, heardAtMs: nowMs });
  state.areBalancersChanged = true;
}

/**
 * Forgets the balancers of control machines that have been silent for long.
 */
export function forgetOldBalancers(state: GroupState, nowMs: number): void {
  for (const [sender, { heardAtMs }] of state.peerBalancers) {
    if (nowMs - heardAtMs > BALANCERS_LIFETIME_MS) {
      state.peerBalancers.delete(sender);
      state.areBalancersChanged = true;
    }
  }
}

/**
 * Publishes the balancers that are known now.
 * @returns how they differ from those published before
 */
export function publishBalancers(state: GroupState): BalancerChanges {
  if (!state.areBalancersChanged) {
    return NO_CHANGES;
  }
  state.areBalancersChanged = false;
  const before = state.publishedBalancers;
  const balancers = allBalancers(state);
  state.publishedBalancers = balancers;
  return {
    added: [...balancers.values()].filter((info) => !isSameBalancer(info, before.get(info.name))),
    lost: [...before.keys()].filter((name) => !balancers.has(name)),
  };
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
