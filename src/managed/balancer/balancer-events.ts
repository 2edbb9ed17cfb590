/**
 * @file Input events and output effects of `balancerStep`.
 */
import type { Address } from '../../shared/common/address.js';
import type {
  BalancerToControlMessage,
  ControlToBalancerMessage,
} from '../dissemination/link-messages.js';
import type { LinkId } from '../dissemination/publisher.js';
import type { SubscriptionEffect } from '../dissemination/subscription-state.js';
import type { ProbeResult } from '../health/backend-report.js';
import type { PeerDatagram } from '../gossip/gossip-messages.js';
import type { ProbeEffect } from '../health/probe-schedule.js';

/** An event of a balancer's step. */
export type BalancerEvent =
  /** A datagram from the fabric; `replyTo` is its source address. */
  | { readonly type: 'client-datagram'; readonly datagram: Uint8Array; readonly replyTo: Address }
  /** A datagram from a back end: the reply to an open. */
  | { readonly type: 'backend-datagram'; readonly datagram: Uint8Array }
  /** A link requested by `link-open` accepts messages; its connection may not be established yet. */
  | { readonly type: 'link-opened'; readonly linkId: number }
  | {
      readonly type: 'link-message';
      readonly linkId: number;
      readonly message: ControlToBalancerMessage;
    }
  | { readonly type: 'link-closed'; readonly linkId: number }
  /** A message from a downstream balancer, which receives the configuration from this one. */
  | {
      readonly type: 'peer-message';
      readonly linkId: LinkId;
      readonly message: BalancerToControlMessage;
    }
  | { readonly type: 'peer-closed'; readonly linkId: LinkId }
  /** A datagram from another balancer; `from` is its source address. */
  | { readonly type: 'gossip'; readonly message: PeerDatagram; readonly from: Address }
  | { readonly type: 'probe-result'; readonly result: ProbeResult }
  /** Runs timers; sent at least every 50 ms. */
  | { readonly type: 'tick' }
  /** Starts a graceful stop: new opens are refused, established flows are still forwarded. */
  | { readonly type: 'stop' };

/** Sends a datagram. */
export interface SendEffect {
  readonly type: 'send';
  readonly to: Address;
  /** The socket to send on. */
  readonly via: 'fabric' | 'backends';
  readonly datagram: Uint8Array;
}

/** Sends a message to a downstream balancer. */
export interface PeerSendEffect {
  readonly type: 'peer-send';
  readonly linkId: LinkId;
  readonly message: ControlToBalancerMessage;
}

/** Sends a datagram to another balancer. */
interface PeerDatagramEffect {
  readonly type: 'gossip-send';
  readonly to: Address;
  readonly message: PeerDatagram;
}

/** An effect of a balancer's step, for the daemon to perform in order. */
export type BalancerEffect =
  SendEffect | SubscriptionEffect | ProbeEffect | PeerSendEffect | PeerDatagramEffect;
