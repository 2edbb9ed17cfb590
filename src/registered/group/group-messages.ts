/**
 * @file Messages of the control group: among control machines, and between a control machine and the balancers that it
 * feeds. They travel as MessagePack in frames over TCP; feeds are packed before (wire/feed-codec.ts), all others travel
 * with these field names. Where a name is older than the term of the code, its comment gives the term.
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

/** A heartbeat that is passed on; it carries its age, since clocks need not agree. */
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

/** A zone as balancers are sent it. */
export interface ZoneUpdate extends ZoneStatus {
  /**
   * Milliseconds since it was readmitted, where the sender saw that: its back ends may have turned cold shortly before.
   */
  readonly readmittedAgoMs?: number | undefined;
}

/** What is known of the work of a zone. */
export interface ZoneReport extends ZoneStatus {
  /** Active back ends there that are alive. */
  readonly backendCount: number;
  /** How many requests these work on at the same time. */
  readonly slots: number;
  /** Requests that seem to be in progress there. */
  readonly busy: number;
}

/** What a request of a client asks of the leader. */
export type LeaderRequest =
  | { readonly type: 'command'; readonly command: GroupCommand }
  | { readonly type: 'read-config' }
  | { readonly type: 'read-zones' };

/** The leader's reply. */
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
      /** Link address of the sender. */
      readonly replyTo: Address;
      readonly toNodeId: string;
      readonly message: ConsensusMessage;
    }
  /** The sender belongs to no group, or got nothing from its leader for some time. */
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
  /** The load exchange: sums over the balancers that the sender feeds, in place of its last ones. */
  | {
      readonly type: 'load-sums';
      readonly sender: Address;
      /** Undefined where the last ones still hold. */
      readonly loads?: PackedLoads | undefined;
      /** Answer stats; undefined where the last ones still hold. */
      readonly signals?: PackedAnswerStats | undefined;
    }
  | {
      readonly type: 'forward';
      readonly forwardId: number;
      readonly replyTo: Address;
      readonly request: LeaderRequest;
    }
  /** `answer` is the leader's reply. */
  | { readonly type: 'forward-reply'; readonly forwardId: number; readonly answer: LeaderReply };

/** From a balancer to the control machine that feeds it; the first message of a link. */
export interface SubscribeMessage {
  readonly type: 'subscribe';
  readonly balancer: BalancerInfo;
  /** Version of the configuration that it holds; 0 for none. */
  readonly configVersion: number;
  /** What it has of an update to a newer version, from a link that ended before all had come. */
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

/** From a balancer to the control machine that feeds it: its tables of the load exchange, in place of the last ones. */
export interface LoadReportMessage {
  readonly type: 'load-report';
  /** Undefined where the last ones still hold. */
  readonly loads?: PackedLoads | undefined;
  /** Answer stats; undefined where the last ones still hold. */
  readonly signals?: PackedAnswerStats | undefined;
}

/** The acknowledgement of a balancer: it has applied what it was sent. */
export interface FeedTakenMessage {
  readonly type: 'feed-taken';
  /** How many counted messages it has applied on this link. */
  readonly count: number;
}

/** Where a message stands in a full sync. */
export type FullSyncStage =
  /** The first of several messages. */
  | 'begins'
  | 'goes-on'
  /** The last one: back ends that no message of a current full sync named are suspect from now on. */
  | 'ends'
  /** The only one. */
  | 'whole';

/** From a control machine to a balancer. Absent parts have not changed. */
export interface FeedMessage {
  readonly type: 'feed';
  /** True where the sender follows a leader that a quorum follows, and so knows what is committed. */
  readonly isCurrent: boolean;
  /** True where the receiver, with this message, has all that the sender knows. */
  readonly isComplete: boolean;
  /** True where the receiver acknowledges the message; the sender counts it as under way until then. */
  readonly isCounted: boolean;
  /** The stage of a full sync; absent for updates. */
  readonly transfer?: FullSyncStage;
  readonly config?: ConfigPart;
  /** Back ends that are new, or whose record has changed. */
  readonly records?: readonly AgedRecord[];
  /** Changes of liveness. */
  readonly judgements?: readonly LivenessChange[];
  readonly departures?: readonly Departure[];
  /** Balancers that came. */
  readonly balancers?: readonly BalancerInfo[];
  /** Names of balancers that went. */
  readonly lostBalancers?: readonly string[];
  readonly controls?: readonly ControlInfo[];
  /** All zones for which there ever was an order. */
  readonly zones?: readonly ZoneUpdate[];
  /** Loads: the sums over all other balancers, in place of the last ones. */
  readonly loads?: PackedLoads;
  /** Answer stats: the sums over all other balancers, in place of the last ones. */
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
