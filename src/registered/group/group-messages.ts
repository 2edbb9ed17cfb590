/**
 * @file Messages of the control group: among control machines, and between a control machine and the
 * balancers that it feeds. They travel as MessagePack in frames over TCP.
 */
import type { Address } from '../../shared/common/address.js';
import type { ConsensusMessage, Sender } from '../../shared/consensus/messages.js';
import type { ConfigPart } from '../declared/config-update.js';
import type { PackedLoads } from '../load-exchange/backend-load.js';
import type { PackedAnswerStats } from '../load-exchange/answer-stats.js';
import type { LivenessChange } from '../registry/backend-liveness.js';
import type { BackendRecord, Departure } from '../registry/backend-record.js';
import type { ConfigDocument, GroupCommand } from './replicated-state.js';
import type { ZoneStatus } from './zone-orders.js';

/** A heartbeat that is passed on, with its age so that clocks need not agree. */
export interface AgedRecord {
  readonly record: BackendRecord;
  /** Milliseconds since the heartbeat came. */
  readonly ageMs: number;
}

/** A balancer as the group knows it. */
export interface BalancerInfo {
  readonly name: string;
  readonly zone: string;
  /** UDP address at which other balancers reach it. */
  readonly peerAddress: Address;
}

/** A control machine as the group knows it. */
export interface ControlInfo {
  readonly linkAddress: Address;
  /** Where it runs; absent while it is not known. */
  readonly zone?: string;
}

/** A zone as balancers are told of it. */
export interface ZoneUpdate extends ZoneStatus {
  /**
   * Milliseconds since it was readmitted, as far as the sender has seen that happen: its back ends may have turned
   * cold shortly before.
   */
  readonly readmittedAgoMs?: number | undefined;
}

/** What is known of the work of a zone. */
export interface ZoneReport extends ZoneStatus {
  /** Back ends there that are heard of and stay. */
  readonly backendCount: number;
  /** How many requests these work on at once. */
  readonly slots: number;
  /** Requests that seem to be in progress there. */
  readonly busy: number;
}

/** What a request of a client asks of the leader. */
export type LeaderRequest =
  | { readonly type: 'command'; readonly command: GroupCommand }
  | { readonly type: 'read-config' }
  | { readonly type: 'read-zones' };

/** How the leader answered. */
export type LeaderReply =
  | { readonly type: 'committed' }
  | { readonly type: 'config'; readonly document: ConfigDocument | undefined }
  | { readonly type: 'zones'; readonly zones: readonly ZoneReport[] }
  | { readonly type: 'refused'; readonly reason: string };

/** From one control machine to another. */
export type PeerMessage =
  | {
      readonly type: 'consensus';
      readonly clusterId: string;
      readonly from: Sender;
      /** Where the sender is reached. */
      readonly replyTo: Address;
      readonly toNodeId: string;
      readonly message: ConsensusMessage;
    }
  /** The sender belongs to no group, or has not heard from its leader for some time. */
  | { readonly type: 'announce'; readonly from: Sender; readonly linkAddress: Address }
  /** The sender stops for good, or at least for now; asked of the leader. */
  | { readonly type: 'leave'; readonly from: Sender }
  | { readonly type: 'heartbeats'; readonly records: readonly AgedRecord[] }
  | {
      readonly type: 'balancers';
      readonly sender: Address;
      /** Where the sender runs. */
      readonly zone: string;
      readonly balancers: readonly BalancerInfo[];
    }
  /** What passes the balancers that the sender feeds, in place of what it told before. */
  | {
      readonly type: 'load-sums';
      readonly sender: Address;
      /** Undefined where the ones that were told before still hold; so are the signals. */
      readonly loads?: PackedLoads | undefined;
      readonly signals?: PackedAnswerStats | undefined;
    }
  | {
      readonly type: 'forward';
      readonly forwardId: number;
      readonly replyTo: Address;
      readonly request: LeaderRequest;
    }
  | { readonly type: 'forward-reply'; readonly forwardId: number; readonly answer: LeaderReply };

/** From a balancer to the control machine that feeds it; the first message of a link. */
export interface SubscribeMessage {
  readonly type: 'subscribe';
  readonly balancer: BalancerInfo;
  /** Version of the configuration that it holds; 0 for none. */
  readonly configVersion: number;
  /** What it has of a newer one, from a link that ended before all had come. */
  readonly unfinished?: UnfinishedConfig;
}

/** The first changes of an update, which a balancer got before the link ended. */
export interface UnfinishedConfig {
  readonly version: number;
  /** The version that the changes are made to. */
  readonly baseVersion: number;
  /** How many changes have come. */
  readonly changesTaken: number;
}

/** From a balancer to the control machine that feeds it: what passes it, in place of what it told before. */
export interface LoadReportMessage {
  readonly type: 'load-report';
  /** Undefined where what was told before still holds. */
  readonly loads?: PackedLoads | undefined;
  /** How back ends answer here; undefined where what was told before still holds. */
  readonly signals?: PackedAnswerStats | undefined;
}

/** From a balancer to the control machine that feeds it: it has taken what it was sent. */
export interface FeedTakenMessage {
  readonly type: 'feed-taken';
  /** How many messages that are counted it has taken on this link. */
  readonly count: number;
}

/** Where a message stands in the transfer of a whole state. */
export type FullSyncStage =
  /** The first of several messages; what was known before is doubted unless they name it. */
  | 'begins'
  | 'goes-on'
  /** The last one: what none of them named is gone. */
  | 'ends'
  /** The only one. */
  | 'whole';

/** From a control machine to a balancer. Absent parts have not changed. */
export interface FeedMessage {
  readonly type: 'feed';
  /** True where the sender follows a leader that a quorum follows, and so knows what is committed. */
  readonly isCurrent: boolean;
  /** True where the receiver, with this message, has been told all that the sender knows. */
  readonly isComplete: boolean;
  /** True where the receiver answers that it has taken the message; the sender waits for that at times. */
  readonly isCounted: boolean;
  /** Set while all that the sender knows of back ends and balancers is told. */
  readonly transfer?: FullSyncStage;
  readonly config?: ConfigPart;
  /** Back ends that were not heard of before, or that tell something else of themselves. */
  readonly records?: readonly AgedRecord[];
  /** Back ends that are judged otherwise than before. */
  readonly judgements?: readonly LivenessChange[];
  readonly departures?: readonly Departure[];
  /** Balancers that came. */
  readonly balancers?: readonly BalancerInfo[];
  /** Names of balancers that went. */
  readonly lostBalancers?: readonly string[];
  readonly controls?: readonly ControlInfo[];
  /** All zones for which there ever was an order. */
  readonly zones?: readonly ZoneUpdate[];
  /** What passes all other balancers, in place of what was told before. */
  readonly loads?: PackedLoads;
  /** How back ends answer at all other balancers, in place of what was told before. */
  readonly signals?: PackedAnswerStats;
}

/** What a balancer sends on its link. */
export type BalancerLinkMessage = SubscribeMessage | LoadReportMessage | FeedTakenMessage;

/** Every message that comes in at the link address of a control machine. */
export type ControlInboundMessage = PeerMessage | BalancerLinkMessage;

/**
 * @returns true where a message comes from a balancer that is fed here, and not from a control machine
 */
export function isBalancerLinkMessage(
  message: ControlInboundMessage,
): message is BalancerLinkMessage {
  return (
    message.type === 'subscribe' || message.type === 'load-report' || message.type === 'feed-taken'
  );
}
