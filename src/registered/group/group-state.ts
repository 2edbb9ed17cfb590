/**
 * @file The state of a control machine of a group, and its options.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { LinkId } from '../../shared/common/link-table.js';
import { createStallGuard, type StallGuard } from '../../shared/common/stall-guard.js';
import {
  createConsensusState,
  currentMembership,
  type ConsensusOptions,
  type ConsensusState,
} from '../../shared/consensus/consensus-state.js';
import { findMember, type Member, type NodeId } from '../../shared/consensus/membership.js';
import type { RecoveredState } from '../../shared/consensus/persisted-state.js';
import type { DeclaredConfig } from '../declared/declared-config.js';
import { ANSWER_STATS_ROWS } from '../load-exchange/answer-stats.js';
import { createLoadOutlet, type LoadOutlet } from '../load-exchange/load-outlet.js';
import { createLoadTotals, type LoadTotals } from '../load-exchange/load-totals.js';
import { HeartbeatRegistry } from '../registry/heartbeat-registry.js';
import { createConfigHistory, type ConfigHistory } from './config-history.js';
import type { RequestId } from './group-events.js';
import type { Timing } from './timing.js';
import { createPendingUpdates, type PendingUpdates } from './pending-updates.js';
import type {
  AgedRecord,
  BalancerInfo,
  FeedMessage,
  LeaderRequest,
  UnfinishedConfig,
} from './group-messages.js';
import { decodeGroupCommand, ReplicatedState, type ConfigDocument } from './replicated-state.js';

/**
 * @returns the storage ID of a member with which a group begins, known to all the others before it has
 *   started; votes are counted by storage IDs, so no two members may share one
 */
export function firstStorageId(linkAddress: Address): string {
  return `first-${formatAddress(linkAddress)}`;
}

/** Options of a control machine; all times in milliseconds. */
export interface GroupOptions {
  readonly linkAddress: Address;
  /** Where this machine runs; balancers of the zone get their feed here first. */
  readonly zone: string;
  /** All zones of the deployment, as far as the settings tell; others are known by what runs there. */
  readonly zones: readonly string[];
  /** Link addresses of the machines with which the group begins, and by which it is found later. */
  readonly seeds: readonly Address[];
  /** True at the first start of the whole system, with empty disks. */
  readonly isFirstStart: boolean;
  /** How many disks may be lost right after an acknowledgement. */
  readonly tolerableLosses: number;
  /** Time between two heartbeats of a back end. */
  readonly heartbeatIntervalMs: number;
  /** A back end that is silent for so long is forgotten. */
  readonly forgetBackendAfterMs: number;
  /** A voter above the number needed that is silent for so long is removed. */
  readonly removeVoterAfterMs: number;
  /** A client hears after this time at the latest. */
  readonly requestDeadlineMs: number;
  /** Translates a document; it was checked before it came into the log. */
  readonly readDocument: (document: ConfigDocument) => DeclaredConfig;
  readonly timing: Timing;
  /** Synced copies that an acknowledgement waits for. */
  readonly minimumCopies: number;
}

/** A call that waits for its answer. */
export interface WaitingCall {
  readonly deadlineMs: number;
  readonly request: LeaderRequest;
}

/** Who gets the answer to a proposal or read of this leader. */
export type ReplyTo =
  | { readonly type: 'client'; readonly requestId: RequestId }
  | { readonly type: 'peer'; readonly address: Address; readonly forwardId: number };

/** A proposal or read under way. */
export interface PendingReply {
  readonly replyTo: ReplyTo;
  readonly request: LeaderRequest;
}

/** A machine that asks to be taken in. */
export interface Announcement {
  readonly nodeId: NodeId;
  readonly storageId: string;
  readonly linkAddress: Address;
  readonly announcedAtMs: number;
}

/** A balancer that gets its feed from here. */
export interface Subscriber {
  readonly balancer: BalancerInfo;
  /** Version of the configuration that it holds with all that was sent. */
  configVersion: number;
  /** How much of an update it has got, where that is not all. */
  unfinished: UnfinishedConfig | undefined;
  phase: SubscriberPhase;
  /** What it has not been told yet. */
  pendingUpdates: PendingUpdates;
  /** True while a whole state is under way, of which it has got some. */
  isInFullSync: boolean;
  /** Messages that were sent and that it answers. */
  countedSent: number;
  /** How many of them it has taken. */
  countedApplied: number;
  /** True where the last message said that this machine was current. */
  wasSentCurrent: boolean;
  /** When it gets a message though nothing has changed, in milliseconds. */
  nextPulseAtMs: number;
  readonly loads: PublishedTable;
  /** How back ends answer. */
  readonly signals: PublishedTable;
}

/** What a balancer was told of one table. */
export interface PublishedTable {
  /** The version of the totals that it was told of last. */
  version: number;
  /** When it is told. */
  readonly outlet: LoadOutlet;
}

/** How much a balancer has been told. */
export type SubscriberPhase =
  /** Nothing. */
  | 'new'
  /** Some of the whole state, while this machine could not say that it was current. */
  | 'transfer-provisional'
  /** Some of the whole state as it was current. */
  | 'transfer-current'
  /** The whole state, while this machine could not say that it was current. */
  | 'provisional'
  /** The whole state as it was current, and all changes since. */
  | 'fed';

/** The balancers that another control machine feeds. */
export interface BalancersOfPeer {
  readonly balancers: readonly BalancerInfo[];
  readonly receivedAtMs: number;
}

/** The state of one control machine. */
export interface GroupState {
  readonly options: GroupOptions;
  readonly consensus: ConsensusState;
  readonly replicated: ReplicatedState;
  readonly registry: HeartbeatRegistry;
  readonly clusterId: string;
  /** Calls of clients of this machine. */
  readonly waiting: Map<RequestId, WaitingCall>;
  /** Proposals and reads under way here, by the number that consensus knows. */
  readonly pendingReplies: Map<number, PendingReply>;
  /** The proposal at each index of the log that is not committed yet. */
  readonly proposals: Map<number, { readonly term: number; readonly proposalId: number }>;
  /** Where this machine looks for the group; from the settings. */
  seeds: readonly Address[];
  /** Index of the last change of the list of back ends that was proposed here. */
  registryProposalIndex: number;
  /** True once the list of back ends that was found on disk is in the registry. */
  isRegistrySeeded: boolean;
  nextProposalId: number;
  readonly announced: Map<NodeId, Announcement>;
  /** Where machines outside the membership are answered. */
  readonly replyAddresses: Map<NodeId, Address>;
  nextAnnounceAtMs: number;
  /** Heartbeats that the other control machines have not been told yet. */
  heartbeatsToShare: AgedRecord[];
  readonly subscribers: Map<LinkId, Subscriber>;
  readonly peerBalancers: Map<string, BalancersOfPeer>;
  /** True where subscribers or lists of other control machines have come or gone since. */
  areBalancersChanged: boolean;
  /** The balancers that subscribers have been told of, by their names. */
  publishedBalancers: ReadonlyMap<string, BalancerInfo>;
  /** What has changed since the last feed. */
  pendingUpdates: PendingUpdates;
  /** Messages that were made since the last tick, by what they tell. */
  readonly feedMessages: Map<string, FeedMessage>;
  /** Zones of the other control machines, by their link addresses. */
  readonly controlZones: Map<string, string>;
  nextBalancersShareAtMs: number;
  readonly loads: LoadTotals;
  /** When the other control machines are told the sums of the balancers that are fed here. */
  readonly sumsOutlet: LoadOutlet;
  /** How back ends answer. */
  readonly signals: LoadTotals;
  /** When the other control machines are told the sums of that. */
  readonly signalSumsOutlet: LoadOutlet;
  /** Since when silence of a back end counts, in milliseconds; undefined while not current. */
  listeningSinceMs: number | undefined;
  /** The translated form of the configuration that holds, with what changed lately. */
  readonly configs: ConfigHistory;
  /** When this machine saw zones being readmitted, in milliseconds; lost when it restarts. */
  readonly readmittedAtMs: Map<string, number>;
  /** Tells calls that waited while this process stood still. */
  readonly stallGuard: StallGuard;
  isStopping: boolean;
}

/** An order that waited for less is as new as any that was on its way: its sender waits for a second. */
const ORDER_STALL_MS = 300;
/** Load sums that have not changed are told to the other control machines again after this time. */
const LOAD_SUMS_REFRESH_MS = 1_000;
/** ... and count there for so long: two that were lost, and a pause. */
const LOAD_SUMS_LIFETIME_MS = 2_500;

const batchOptions = {
  maxBatchEntries: 64,
  maxBatchBytes: 512 * 1024,
  maxInFlightBatches: 4,
  snapshotChunkBytes: 256 * 1024,
  trailingEntries: 16,
} as const;

/**
 * @param minimumCopies synced copies that an acknowledgement waits for
 * @returns the options of the group's consensus
 */
function groupConsensusOptions(timing: Timing, minimumCopies: number): ConsensusOptions {
  return { ...batchOptions, ...timing.consensus, minimumCopies };
}

/**
 * @returns the name of a member: the machine and its disk, so that a machine with an empty disk is
 *   another member
 */
export function memberName(linkAddress: Address, storageId: string): NodeId {
  return `${formatAddress(linkAddress)}#${storageId}`;
}

/**
 * @param recovered what was found on disk
 * @returns the state of a control machine that starts
 */
export function createGroupState(options: GroupOptions, recovered: RecoveredState): GroupState {
  const nodeId = memberName(options.linkAddress, recovered.storageId);
  const consensusOptions = groupConsensusOptions(options.timing, options.minimumCopies);
  const consensus = createConsensusState(nodeId, recovered, consensusOptions);
  const replicated = recoverReplicated(consensus);
  const document = replicated.config;
  return {
    options,
    consensus,
    replicated,
    registry: new HeartbeatRegistry(options.heartbeatIntervalMs),
    clusterId: clusterIdOf(options.seeds),
    waiting: new Map(),
    pendingReplies: new Map(),
    proposals: new Map(),
    seeds: options.seeds,
    registryProposalIndex: 0,
    isRegistrySeeded: false,
    nextProposalId: 1,
    announced: new Map(),
    replyAddresses: new Map(),
    nextAnnounceAtMs: Number.NEGATIVE_INFINITY,
    heartbeatsToShare: [],
    subscribers: new Map(),
    peerBalancers: new Map(),
    areBalancersChanged: false,
    publishedBalancers: new Map(),
    pendingUpdates: createPendingUpdates(),
    feedMessages: new Map(),
    controlZones: new Map(),
    nextBalancersShareAtMs: Number.NEGATIVE_INFINITY,
    loads: createLoadTotals(LOAD_SUMS_LIFETIME_MS),
    sumsOutlet: createLoadOutlet(LOAD_SUMS_REFRESH_MS),
    signals: createLoadTotals(LOAD_SUMS_LIFETIME_MS, ANSWER_STATS_ROWS),
    signalSumsOutlet: createLoadOutlet(LOAD_SUMS_REFRESH_MS, ANSWER_STATS_ROWS),
    listeningSinceMs: undefined,
    configs: createConfigHistory(
      document === undefined ? undefined : options.readDocument(document),
    ),
    readmittedAtMs: new Map(),
    stallGuard: createStallGuard({ stallMs: ORDER_STALL_MS, rememberedMs: 0 }),
    isStopping: false,
  };
}

/** Applies what is known to be committed. */
function recoverReplicated({ snapshot, log, commitIndex }: ConsensusState): ReplicatedState {
  const replicated = new ReplicatedState();
  if (snapshot !== undefined) {
    replicated.restore(snapshot.data);
  }
  for (const { content } of log.slice((snapshot?.index ?? 0) + 1, commitIndex)) {
    if (content.type === 'command') {
      replicated.apply(decodeGroupCommand(content.data));
    }
  }
  return replicated;
}

/** Seeds may change later; the ID is taken from them only at the first start. */
function clusterIdOf(seeds: readonly Address[]): string {
  return seeds.map(formatAddress).sort().join(',');
}

/**
 * @returns the members other than this machine
 */
export function otherMembers(state: GroupState): Member[] {
  return currentMembership(state.consensus).members.filter(
    ({ nodeId }) => nodeId !== state.consensus.nodeId,
  );
}

/**
 * @returns the link address of the leader, where another machine leads
 */
export function leaderAddress(state: GroupState): Address | undefined {
  const { leaderId, nodeId } = state.consensus;
  if (leaderId === undefined || leaderId === nodeId) {
    return undefined;
  }
  return findMember(currentMembership(state.consensus), leaderId)?.linkAddress;
}

/**
 * @returns true where this machine leads a quorum, or follows a leader that it has heard lately
 */
export function isCurrent(state: GroupState, nowMs: number): boolean {
  const { role, leaderId, heardFromLeaderAtMs, options, commitIndex } = state.consensus;
  if (role.name === 'leader') {
    return commitIndex >= role.termStartIndex;
  }
  const isFollowing = leaderId !== undefined;
  return isFollowing && nowMs - heardFromLeaderAtMs <= options.electionTimeoutMs;
}
