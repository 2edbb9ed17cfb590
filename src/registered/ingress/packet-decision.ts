/**
 * @file What a balancer does with a packet of a client. The reasons are the words of log lines and metrics.
 */
import type { KnownBackend } from './known-backend.js';
import type { FlowKey } from './packet-view.js';

/** Why a packet was dropped or its open refused. */
export type DropReason =
  /** The token names no back end that is known here. */
  | 'unknown-token'
  /** A packet of an established flow without a token. */
  | 'no-token'
  /** This balancer has not been current yet, or has no configuration. */
  | 'not-ready'
  /** An open of a route that may be new, at a balancer that is not current. */
  | 'not-current'
  | 'no-route'
  | 'no-backend'
  /** The back end of an established flow is proven dead. */
  | 'backend-dead'
  /** The back end of a flow has started again since, at another address, and holds nothing of before. */
  | 'backend-restarted'
  /** All zones in which the service has back ends are evacuated. */
  | 'zones-evacuated'
  /** Slow start admits no further flow to any back end that it could go to. */
  | 'all-cold'
  /** An open that waited while this process stood still. */
  | 'stale-open'
  /** An open whose other copy another balancer is placing at this moment. */
  | 'claimed-elsewhere';

/** How the back end of an open was found. */
export type FoundBy =
  /** Chosen by placement. */
  | {
      readonly type: 'chosen';
      readonly key: FlowKey;
      readonly service: string;
      /** Requests in progress for each slot. */
      readonly load: number;
    }
  /** A copy of an open that this balancer placed. */
  | { readonly type: 'remembered' }
  /** A copy of an open that another balancer placed. */
  | { readonly type: 'told-by-peer' };

/** What becomes of a packet. */
export type PacketDecision =
  | {
      readonly type: 'forward';
      readonly backend: KnownBackend;
      /** How the back end of an open was found; undefined for packets with a token. */
      readonly foundBy?: FoundBy;
    }
  /** The client learns that its flow was not opened, or is over. */
  | { readonly type: 'reset'; readonly reason: DropReason }
  | { readonly type: 'drop'; readonly reason: DropReason }
  /** The first copy may have gone through another balancer: ask the holders, then call `placeOpen` or `followPeer`. */
  | { readonly type: 'ask-peers'; readonly key: FlowKey };
