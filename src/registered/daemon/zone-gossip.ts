/**
 * @file How a balancer that is cut off from control hears of zones: it asks other balancers, which may be fed. It would
 * go on giving flows to a zone that was emptied, turned cold and was taken back meanwhile, and a cold back end bears
 * few from all balancers together, also from those that are cut off.
 *
 * Whoever knows newer orders wins, so nobody needs to know who is right.
 */
import type { Address } from '../../shared/common/address.js';
import type { ZoneUpdate } from '../group/group-messages.js';
import type { BalancerMessage } from '../group/message-schemas.js';
import { knowsCurrent, type IngressState } from '../ingress/ingress-state.js';

/** What it needs of a balancer. */
export interface ZoneGossipOptions {
  readonly state: IngressState;
  /** Where other balancers reach this one. */
  readonly replyTo: Address;
  readonly nowMs: () => number;
  readonly sendToBalancer: (to: Address, message: BalancerMessage) => void;
}

/** Asks and answers. */
export interface ZoneGossip {
  /** Asks others while nothing current comes from control. */
  tick(nowMs: number): void;
  /** Answers another balancer that asks. */
  handleQuery(replyTo: Address): void;
  /** Takes what another balancer knows. */
  applyUpdates(zones: readonly ZoneUpdate[]): void;
}

/**
 * Time between two questions: an evacuation takes seconds, and a balancer that is cut off hears of its begin and of its
 * end within one of them.
 */
const ASK_INTERVAL_MS = 500;
/** Balancers that are asked at once: one of them may be cut off as well. */
const ASKED_BALANCERS = 3;

/** @returns the gossip of a balancer that has asked nobody yet */
export function createZoneGossip(options: ZoneGossipOptions): ZoneGossip {
  const { state, replyTo, sendToBalancer } = options;
  let nextAtMs = Number.NEGATIVE_INFINITY;
  let turn = 0;

  return { tick, handleQuery, applyUpdates };

  function tick(nowMs: number): void {
    if (nowMs < nextAtMs || knowsCurrent(state, nowMs)) {
      return;
    }
    nextAtMs = nowMs + ASK_INTERVAL_MS;
    for (const { peerAddress } of state.peers.othersInTurn(turn, ASKED_BALANCERS)) {
      sendToBalancer(peerAddress, { type: 'find-zones', replyTo });
    }
    turn += ASKED_BALANCERS;
  }

  function handleQuery(to: Address): void {
    const zones = state.zones.updates(options.nowMs());
    if (zones.length > 0) {
      sendToBalancer(to, { type: 'zones-known', zones });
    }
  }

  function applyUpdates(zones: readonly ZoneUpdate[]): void {
    state.zones.applyUpdates(zones, options.nowMs());
  }
}
