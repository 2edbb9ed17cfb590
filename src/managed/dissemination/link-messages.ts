/**
 * @file Messages between a balancer and the one that it gets the configuration from, over TCP, as MessagePack. That one is a
 * control machine or another balancer, which passes on what it has. Field names are sent as they are here.
 */
import type { Address } from '../../shared/common/address.js';
import type { ConfigPosition, ConfigUpdate } from '../control/config-delta.js';
import type { SharedResult } from '../health/health-sharing.js';
import type { LeaseGrant } from './lease.js';

/** A balancer below the sender of a report. */
export interface ReportedMember {
  readonly balancerId: string;
  readonly zone: string;
  /** False where its link is closed and its next one is not known yet. */
  readonly isLinked: boolean;
}

/** A balancer that lags behind the others of a report. */
interface Laggard {
  readonly balancerId: string;
  readonly index: number;
}

/** What is in force below the sender. */
export interface SubtreeReport {
  /** Sent where they changed since the last report on this link. */
  readonly members?: readonly ReportedMember[];
  /** Every member that is not among the laggards has this log index in force. */
  readonly commonIndex: number;
  readonly laggards: readonly Laggard[];
}

/** Balancer to control: asks for the configuration from a position on; the first message. */
export interface SubscribeMessage {
  readonly type: 'subscribe';
  /** Proof of the cluster key; another cluster's is refused with `wrong-cluster`. */
  readonly clusterKey: string;
  readonly balancerId: string;
  readonly zone: string;
  readonly position: ConfigPosition;
  /** When it was sent, on the balancer's clock, in milliseconds; asks for a lease from then on. */
  readonly sentAtMs: number;
  /** What is in force at balancers that are linked to the sender. */
  readonly subtree?: SubtreeReport;
}

/** Balancer to control: this position is in force here; answered by a heartbeat. */
export interface AcknowledgeMessage {
  readonly type: 'acknowledge';
  readonly position: ConfigPosition;
  /** As in `SubscribeMessage`. */
  readonly sentAtMs: number;
  /** As in `SubscribeMessage`. */
  readonly subtree?: SubtreeReport;
}

/** Control to balancer: the committed position, so that a balancer that lags knows it. */
export interface HeartbeatMessage {
  readonly type: 'heartbeat';
  readonly committed: ConfigPosition;
  /** Absent where the sender may not extend a lease. */
  readonly lease?: LeaseGrant;
  /** Link address of the leader, where the sender is another machine and knows it. */
  readonly leader?: Address;
  /** How many balancers the sender knows below the receiver; absent for none. */
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

/** From a balancer to one that joins: what is known of back ends. */
interface HealthStateMessage {
  readonly type: 'health-state';
  readonly results: readonly SharedResult[];
}

/** Any message from a balancer to a control machine. */
export type BalancerToControlMessage = SubscribeMessage | AcknowledgeMessage;
/** Any message from a control machine to a balancer. */
export type ControlToBalancerMessage =
  HeartbeatMessage | UpdateMessage | LinkRefusedMessage | HealthStateMessage;
