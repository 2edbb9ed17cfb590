/**
 * @file How does a balancer that is cut off from control learn of orders for zones?
 *
 * Inputs: whether its own feed is current, and the orders for zones that it knows, with the version of each.
 *
 * While its feed is not current it asks some other balancers, in turn, and applies what they know; each answers what it
 * knows, and the newest order of a zone wins, so that nobody needs to know who is right. Without it, such a balancer would
 * go on placing flows in a zone that was evacuated and readmitted meanwhile: its back ends are cold then, and get few new
 * flows from all balancers together. In simulated cut-offs they got up to 40 in a second where 5 were allowed, and none
 * above the bound with it (docs/FINDINGS.md).
 */
import type { Address } from '../../shared/common/address.js';
import type { ZoneUpdate } from '../group/group-messages.js';
import type { BalancerMessage } from '../group/message-schemas.js';
import { isFeedCurrent, type IngressState } from '../ingress/ingress-state.js';

/** What it needs of a balancer. */
export interface ZoneGossipOptions {
  readonly state: IngressState;
  /** Where other balancers reach this one. */
  readonly replyTo: Address;
  readonly nowMs: () => number;
  readonly sendToBalancer: (to: Address, message: BalancerMessage) => void;
}

/** The gossip of one balancer. */
export interface ZoneGossip {
  /** Asks others while nothing current comes from control. */
  tick(nowMs: number): void;
  /** Answers another balancer that asks. */
  handleQuery(replyTo: Address): void;
  /** Applies what another balancer knows. */
  applyUpdates(zones: readonly ZoneUpdate[]): void;
}

/**
 * Time between two queries: a zone is evacuated for seconds, so that a balancer that is cut off learns of the begin and of
 * the end of an evacuation in time. Not measured; cold back ends above their bound while balancers are cut off would show
 * it too long.
 */
const ASK_INTERVAL_MS = 500;
/** Balancers that are asked at the same time: some of them may be cut off as well. Not measured. */
const ASKED_BALANCERS = 3;

/** @returns the gossip of a balancer that has asked nobody yet */
export function createZoneGossip(options: ZoneGossipOptions): ZoneGossip {
  const { state, replyTo, sendToBalancer } = options;
  let nextAtMs = Number.NEGATIVE_INFINITY;
  let turn = 0;

  return { tick, handleQuery, applyUpdates };

  function tick(nowMs: number): void {
    if (nowMs < nextAtMs || isFeedCurrent(state, nowMs)) {
      return;
    }
    nextAtMs = nowMs + ASK_INTERVAL_MS;
    for (const { peerAddress } of state.peers.rotatedPeers(turn, ASKED_BALANCERS)) {
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
