/**
 * @file Types of the messages between control machines, and between a control machine and the balancers that it feeds.
 * They are sent over TCP as MessagePack frames with these field names; feed messages are packed first
 * (wire/feed-codec.ts). If a field name differs from the term used in the code, its comment gives the term.
 */
import type { Address } from '../../shared/common/address.js';
import type { ConsensusMessage, Sender } from '../../shared/consensus/messages.js';
import type { ConfigPart } from '../declared/config-update.js';
import type { PackedLoads } from '../load-exchange/backend-load.js';
import type { PackedAnswerStats } from '../load-exchange/answer-stats.js';
import type { PackedSuspicions } from '../load-exchange/suspicion-rows.js';
import type { LivenessChange } from '../registry/backend-liveness.js';
import type { BackendRecord, Departure } from '../registry/backend-record.js';
import type { ConfigDocument, GroupCommand } from './replicated-state.js';
import type { ZoneStatus } from './zone-orders.js';

/** A forwarded heartbeat; carries its age, because clocks may differ between machines. */
export interface AgedRecord {
  readonly record: BackendRecord;
  /** Milliseconds since the heartbeat was received. */
  readonly ageMs: number;
}

/** A balancer that is registered with the group. */
export interface BalancerInfo {
  readonly name: string;
  readonly zone: string;
  /** UDP address for messages from other balancers. */
  readonly peerAddress: Address;
}

/** A control machine that balancers can connect to. */
export interface ControlInfo {
  readonly linkAddress: Address;
  /** Zone that it runs in; absent while unknown. */
  readonly zone?: string;
}

/** Status of a zone in a feed. */
export interface ZoneUpdate extends ZoneStatus {
  /**
   * Milliseconds since the zone was readmitted, if the sender observed it; its back ends may still be cold.
   */
  readonly readmittedAgoMs?: number | undefined;
}

/** Load of a zone. */
export interface ZoneReport extends ZoneStatus {
  /** Number of back ends that are alive and have not announced a departure. */
  readonly backendCount: number;
  /** Number of requests that these back ends can process concurrently. */
  readonly slots: number;
  /** Estimated number of requests in progress. */
  readonly busy: number;
}

/** Request of a client to the leader. */
export type LeaderRequest =
  | { readonly type: 'command'; readonly command: GroupCommand }
  | { readonly type: 'read-config' }
  | { readonly type: 'read-zones' };

/** Reply of the leader. */
export type LeaderReply =
  | { readonly type: 'committed' }
  | { readonly type: 'config'; readonly document: ConfigDocument | undefined }
  | { readonly type: 'zones'; readonly zones: readonly ZoneReport[] }
  | { readonly type: 'refused'; readonly reason: string };

/** Message between control machines. */
export type PeerMessage =
  | {
      readonly type: 'consensus';
      readonly clusterId: string;
      readonly from: Sender;
      /** Link address of the sender. */
      readonly replyTo: Address;
      readonly toNodeId: string;
      readonly message: ConsensusMessage;
    }
  /** The sender belongs to no group, or has lost contact with its leader. */
  | { readonly type: 'announce'; readonly from: Sender; readonly linkAddress: Address }
  /** The sender is stopping and asks the leader to remove it. */
  | { readonly type: 'leave'; readonly from: Sender }
  | {
      readonly type: 'heartbeats';
      readonly records: readonly AgedRecord[];
      /** Sent along with `sequence`, once balancers share evidence. */
      readonly sender?: Address | undefined;
      /** One higher with each message; an omitted number shows that heartbeats may be missing. */
      readonly sequence?: number | undefined;
    }
  | {
      readonly type: 'balancers';
      readonly sender: Address;
      /** Zone that the sender runs in. */
      readonly zone: string;
      readonly balancers: readonly BalancerInfo[];
    }
  /** Load exchange: sums over the balancers that the sender feeds; replaces its previous sums. */
  | {
      readonly type: 'load-sums';
      readonly sender: Address;
      /** Undefined if unchanged. */
      readonly loads?: PackedLoads | undefined;
      /** Answer stats; undefined if unchanged. */
      readonly signals?: PackedAnswerStats | undefined;
      /** Suspicions; undefined if unchanged. */
      readonly suspects?: PackedSuspicions | undefined;
    }
  | {
      readonly type: 'forward';
      readonly forwardId: number;
      readonly replyTo: Address;
      readonly request: LeaderRequest;
    }
  /** `answer` is the reply of the leader. */
  | { readonly type: 'forward-reply'; readonly forwardId: number; readonly answer: LeaderReply };

/** First message on a link, from a balancer to the control machine that feeds it. */
export interface SubscribeMessage {
  readonly type: 'subscribe';
  readonly balancer: BalancerInfo;
  /** Version of the configuration that the balancer holds; 0 for none. */
  readonly configVersion: number;
  /** Changes of a newer version that the balancer received before its previous link closed. */
  readonly unfinished?: UnfinishedConfig;
}

/** A configuration update that was interrupted when the link closed. */
export interface UnfinishedConfig {
  readonly version: number;
  /** Version that the changes apply to. */
  readonly baseVersion: number;
  /** Number of changes received. */
  readonly changesTaken: number;
}

/** From a balancer to the control machine that feeds it: its load tables; they replace the previous ones. */
export interface LoadReportMessage {
  readonly type: 'load-report';
  /** Undefined if unchanged. */
  readonly loads?: PackedLoads | undefined;
  /** Answer stats; undefined if unchanged. */
  readonly signals?: PackedAnswerStats | undefined;
  /** Suspicions; undefined if unchanged. Always sent along with another table, which older programs require. */
  readonly suspects?: PackedSuspicions | undefined;
}

/** From a balancer: acknowledges the feed messages that it has applied. */
export interface FeedTakenMessage {
  readonly type: 'feed-taken';
  /** Number of counted messages that the balancer has applied on this link. */
  readonly count: number;
}

/** Position of a message within a full sync. */
export type FullSyncStage =
  /** The first of several messages. */
  | 'begins'
  | 'goes-on'
  /** The last message; back ends that a full sync from a current sender did not include become suspect. */
  | 'ends'
  /** The only message. */
  | 'whole';

/** From a control machine to a balancer. Absent fields are unchanged. */
export interface FeedMessage {
  readonly type: 'feed';
  /** True if the sender is in contact with a leader that has a quorum, so its committed state is current. */
  readonly isCurrent: boolean;
  /** True if the receiver is fully up to date with the sender after this message. */
  readonly isComplete: boolean;
  /** True if the receiver must acknowledge the message; it counts as in flight until then. */
  readonly isCounted: boolean;
  /** Stage of a full sync; absent in incremental updates. */
  readonly transfer?: FullSyncStage;
  readonly config?: ConfigPart;
  /** Back ends that are new or whose record has changed. */
  readonly records?: readonly AgedRecord[];
  /** Liveness changes. */
  readonly judgements?: readonly LivenessChange[];
  readonly departures?: readonly Departure[];
  /** Balancers that were added. */
  readonly balancers?: readonly BalancerInfo[];
  /** Names of balancers that were removed. */
  readonly lostBalancers?: readonly string[];
  readonly controls?: readonly ControlInfo[];
  /** All zones that have ever had an order. */
  readonly zones?: readonly ZoneUpdate[];
  /** Loads, summed over all other balancers; replaces the previous sums. */
  readonly loads?: PackedLoads;
  /** Answer stats, summed over all other balancers; replaces the previous sums. */
  readonly signals?: PackedAnswerStats;
  /** Suspicions of all balancers, the receiver included; replaces the previous ones. */
  readonly suspects?: PackedSuspicions;
}

/** Message of a balancer to the control machine that feeds it. */
export type BalancerLinkMessage = SubscribeMessage | LoadReportMessage | FeedTakenMessage;

/** Any message that a control machine receives at its link address. */
export type ControlInboundMessage = PeerMessage | BalancerLinkMessage;

/**
 * @returns true if the message comes from a balancer, false if from a control machine
 */
export function isBalancerLinkMessage(
  message: ControlInboundMessage,
): message is BalancerLinkMessage {
  return (
    message.type === 'subscribe' || message.type === 'load-report' || message.type === 'feed-taken'
  );
}

/** @returns the link address of the control machine that sent a message; undefined if the message does not name it */
export function senderAddressOf(message: PeerMessage): Address | undefined {
  switch (message.type) {
    case 'consensus':
      return message.replyTo;
    case 'announce':
      return message.linkAddress;
    default:
      return undefined;
  }
}
