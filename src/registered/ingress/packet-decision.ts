/**
 * @file Result type of the decision on a client packet. The drop reasons appear in logs and metrics.
 */
import type { KnownBackend } from './known-backend.js';
import type { FlowKey } from './packet-view.js';

/** Reason to drop a packet or reset its flow. */
export type DropReason =
  /** No back end has the token. */
  | 'unknown-token'
  /** A packet of an established flow carries no token. */
  | 'no-token'
  /** This balancer has not been current yet or has no configuration. */
  | 'not-ready'
  /** The route of an open is unknown, but may be new since this balancer is not current. */
  | 'not-current'
  | 'no-route'
  | 'no-backend'
  /** The back end of an established flow is proven dead. */
  | 'backend-dead'
  /** The back end of the flow has restarted at another address, without its state. */
  | 'backend-restarted'
  /** All zones with back ends of the service are evacuated. */
  | 'zones-evacuated'
  /** Slow start admits no further flow to any eligible back end. */
  | 'all-cold'
  /** The open was queued while this process was stalled. */
  | 'stale-open'
  /** Another balancer is placing another copy of the open. */
  | 'claimed-elsewhere';

/** Source of the back end of an open. */
export type FoundBy =
  /** Chosen by placement. */
  | {
      readonly type: 'chosen';
      readonly key: FlowKey;
      readonly service: string;
      /** Requests in progress per slot, without the new flow. */
      readonly load: number;
    }
  /** This balancer placed an earlier copy. */
  | { readonly type: 'remembered' }
  /** Another balancer placed an earlier copy. */
  | { readonly type: 'told-by-peer' };

/** Decision on a client packet. */
export type PacketDecision =
  | {
      readonly type: 'forward';
      readonly backend: KnownBackend;
      /** Source of the back end of an open; undefined for packets of established flows. */
      readonly foundBy?: FoundBy;
    }
  /** Tells the client that its flow was refused or has ended. */
  | { readonly type: 'reset'; readonly reason: DropReason }
  | { readonly type: 'drop'; readonly reason: DropReason }
  /** Another balancer may have placed an earlier copy: query the holders, then call `placeOpen` or `adoptPeerPlacement`. */
  | { readonly type: 'ask-peers'; readonly key: FlowKey };
