/**
 * @file Messages between a balancer and its upstream, a control machine or a relaying balancer, over TCP as MessagePack.
 * Field names are encoded as they are here.
 */
import type { Address } from '../../shared/common/address.js';
import type { ConfigPosition, ConfigUpdate } from '../control/config-delta.js';
import type { SharedResult } from '../health/health-sharing.js';
import type { LeaseGrant } from './lease.js';

/** A balancer in the subtree of a report's sender. */
export interface ReportedMember {
  readonly balancerId: string;
  readonly zone: string;
  /** False if its link is closed and no other link is known yet. */
  readonly isLinked: boolean;
}

/** A balancer whose log index is lower than the highest in the subtree. */
interface Laggard {
  readonly balancerId: string;
  readonly index: number;
}

/** What is in force in the sender's subtree: the balancers linked to it, directly or through others. */
export interface SubtreeReport {
  /** Absent if unchanged since the last report on this link. */
  readonly members?: readonly ReportedMember[];
  /** Every member that is not a laggard has at least this log index in force. */
  readonly commonIndex: number;
  readonly laggards: readonly Laggard[];
}

/** Balancer to control: subscribes to the configuration from a position on; the first message on a link. */
export interface SubscribeMessage {
  readonly type: 'subscribe';
  /** Authenticates the balancer; another cluster's key is refused with `wrong-cluster`. */
  readonly clusterKey: string;
  readonly balancerId: string;
  readonly zone: string;
  readonly position: ConfigPosition;
  /** When it was sent, in milliseconds on the balancer's clock; the requested lease starts then. */
  readonly sentAtMs: number;
  /** Absent if the sender has no subtree to report. */
  readonly subtree?: SubtreeReport;
}

/** Balancer to control: acknowledges the position in force and renews the lease; answered by a heartbeat. */
export interface AcknowledgeMessage {
  readonly type: 'acknowledge';
  readonly position: ConfigPosition;
  /** As in `SubscribeMessage`. */
  readonly sentAtMs: number;
  /** As in `SubscribeMessage`. */
  readonly subtree?: SubtreeReport;
}

/** Control to balancer: the committed position, so that a lagging balancer subscribes again, and a lease grant. */
export interface HeartbeatMessage {
  readonly type: 'heartbeat';
  readonly committed: ConfigPosition;
  /** Absent if the sender may not grant a lease. */
  readonly lease?: LeaseGrant;
  /** Link address of the leader, if the sender is a follower and knows it. */
  readonly leader?: Address;
  /** How many members of the receiver's subtree the sender knows; absent for none. */
  readonly subtreeSize?: number;
}

/** Control to balancer: an update of the configuration. */
interface UpdateMessage {
  readonly type: 'update';
  readonly update: ConfigUpdate;
}

/** Control to balancer: the subscription is refused. */
interface LinkRefusedMessage {
  readonly type: 'link-refused';
  readonly kind: 'wrong-cluster';
}

/** Balancer to a newly linked balancer: known health probe results. */
interface HealthStateMessage {
  readonly type: 'health-state';
  readonly results: readonly SharedResult[];
}

/** Any message from a balancer to its upstream. */
export type BalancerToControlMessage = SubscribeMessage | AcknowledgeMessage;
/** Any message from upstream to a balancer. */
export type ControlToBalancerMessage =
  HeartbeatMessage | UpdateMessage | LinkRefusedMessage | HealthStateMessage;
