/**
 * @file The events of a balancer's step and the effects that it returns.
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
  /** A datagram from the fabric; `replyTo` is the address that it came from. */
  | { readonly type: 'client-datagram'; readonly datagram: Uint8Array; readonly replyTo: Address }
  /** A datagram from a back end: an answer to an open. */
  | { readonly type: 'backend-datagram'; readonly datagram: Uint8Array }
  /** A link of the effect `link-open` can be used; its connection may still be under way. */
  | { readonly type: 'link-opened'; readonly linkId: number }
  | {
      readonly type: 'link-message';
      readonly linkId: number;
      readonly message: ControlToBalancerMessage;
    }
  | { readonly type: 'link-closed'; readonly linkId: number }
  /** A message of a balancer that gets the configuration from this one. */
  | {
      readonly type: 'peer-message';
      readonly linkId: LinkId;
      readonly message: BalancerToControlMessage;
    }
  | { readonly type: 'peer-closed'; readonly linkId: LinkId }
  /** A datagram of another balancer; `from` is the address that it came from. */
  | { readonly type: 'gossip'; readonly message: PeerDatagram; readonly from: Address }
  | { readonly type: 'probe-result'; readonly result: ProbeResult }
  /** Time has passed; comes at least every 50 ms. */
  | { readonly type: 'tick' }
  /** A planned stop begins: no new opens, established flows go on. */
  | { readonly type: 'stop' };

/** Sends a datagram. */
export interface SendEffect {
  readonly type: 'send';
  readonly to: Address;
  /** Which socket: towards the fabric, or towards back ends. */
  readonly via: 'fabric' | 'backends';
  readonly datagram: Uint8Array;
}

/** Sends a message to a balancer that gets the configuration from this one. */
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
