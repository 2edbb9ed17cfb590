/**
 * @file Gossip of zone orders between balancers. A balancer whose feed is not current asks other balancers, in
 * rotation, for the zone orders they hold; the newest order of a zone wins. Otherwise it could overload a zone that was
 * evacuated and readmitted in the meantime, and whose back ends are cold: up to 40 new flows per second where 5 are allowed.
 */
import type { Address } from '../../shared/common/address.js';
import type { ZoneUpdate } from '../group/group-messages.js';
import type { BalancerMessage } from '../group/message-schemas.js';
import { isFeedCurrent, type IngressState } from '../ingress/ingress-state.js';

/** Options and dependencies of the gossip. */
export interface ZoneGossipOptions {
  readonly state: IngressState;
  /** UDP address of this balancer for other balancers. */
  readonly replyTo: Address;
  readonly nowMs: () => number;
  readonly sendToBalancer: (to: Address, message: BalancerMessage) => void;
}

/** Zone gossip of one balancer. */
export interface ZoneGossip {
  /** Queries other balancers while the feed is not current. */
  tick(nowMs: number): void;
  /** Answers a query of another balancer. */
  handleQuery(replyTo: Address): void;
  /** Applies zone orders of another balancer. */
  applyUpdates(zones: readonly ZoneUpdate[]): void;
}

/** Short compared to an evacuation, which lasts seconds. */
const QUERY_INTERVAL_MS = 500;
/** Balancers per query; some of them may have a stale feed as well. */
const QUERY_FANOUT = 3;

/** @returns the zone gossip of one balancer */
export function createZoneGossip(options: ZoneGossipOptions): ZoneGossip {
  const { state, replyTo, sendToBalancer } = options;
  let nextQueryAtMs = Number.NEGATIVE_INFINITY;
  let nextOffset = 0;

  return { tick, handleQuery, applyUpdates };

  function tick(nowMs: number): void {
    if (nowMs < nextQueryAtMs || isFeedCurrent(state, nowMs)) {
      return;
    }
    nextQueryAtMs = nowMs + QUERY_INTERVAL_MS;
    for (const { peerAddress } of state.peers.rotatedPeers(nextOffset, QUERY_FANOUT)) {
      sendToBalancer(peerAddress, { type: 'find-zones', replyTo });
    }
    nextOffset += QUERY_FANOUT;
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
