/**
 * @file State of a control machine, composed of parts that other modules create and change. Only `consensus` and
 * `replicated` are durable; all other parts are rebuilt after a restart.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { LinkId } from '../../shared/common/link-table.js';
import type { StallDetector } from '../../shared/common/stall-detector.js';
import {
  createConsensusState,
  type ConsensusOptions,
  type ConsensusState,
} from '../../shared/consensus/consensus-state.js';
import type { RecoveredState } from '../../shared/consensus/persisted-state.js';
import { ANSWER_STATS_ROWS } from '../load-exchange/answer-stats.js';
import { LOAD_ROWS } from '../load-exchange/packed-rows.js';
import { HeartbeatRegistry } from '../registry/heartbeat-registry.js';
import {
  createBackendListProgress,
  type BackendListProgress,
} from './backends/backend-list-progress.js';
import { createHeartbeatExchange, type HeartbeatExchange } from './backends/heartbeat-exchange.js';
import type { StartNumber } from './calls/forward-ids.js';
import { createOrderStallDetector } from './calls/order-stall-detector.js';
import { createPendingCalls, type PendingCalls } from './calls/pending-calls.js';
import { createBalancerList, type BalancerList } from './feed/balancer-list.js';
import { createConfigHistory, type ConfigHistory } from './feed/config-history.js';
import { createExchangedTable, type ExchangedTable } from './feed/load-tables.js';
import { createUpdateCollector, type UpdateCollector } from './feed/pending-updates.js';
import { createSharedSuspicions, type SharedSuspicions } from './feed/suspicion-exchange.js';
import type { Subscriber } from './feed/subscribers.js';
import { createAnnouncements, type Announcements } from './members/announcements.js';
import { nodeIdOf } from './members/member-identity.js';
import type { FeedMessage } from './group-messages.js';
import type { GroupOptions } from './group-options.js';
import { decodeGroupCommand, ReplicatedState } from './replicated-state.js';
import type { Timing } from './timing.js';
import { createZoneReadmissions, type ZoneReadmissions } from './zone-readmissions.js';

/** State of one control machine. */
export interface GroupState {
  readonly options: GroupOptions;
  /** ID of the group; derived from the seeds on the first start only, because they may change later. */
  readonly clusterId: string;
  /** Term, vote, log and membership (src/shared/consensus). */
  readonly consensus: ConsensusState;
  /** State machine of the log (applied-entries.ts). */
  readonly replicated: ReplicatedState;
  /** Last heartbeat of each back end (backends/heartbeats.ts, backends/liveness-updates.ts). */
  readonly registry: HeartbeatRegistry;
  /** Heartbeats queued for the other control machines (backends/heartbeat-exchange.ts). */
  readonly heartbeats: HeartbeatExchange;
  /** Synchronization of registry and replicated list (backends/backend-list-progress.ts). */
  readonly backendList: BackendListProgress;
  /** Pending calls and proposals (calls/pending-calls.ts). */
  readonly calls: PendingCalls;
  /** Join requests of other machines and of this one (members/announcements.ts). */
  readonly announcements: Announcements;
  /** Balancers fed by this machine, by link (feed/balancer-feed.ts). */
  readonly subscribers: Map<LinkId, Subscriber>;
  /** Feed messages built since the last tick, by plan (feed/feed-messages.ts). */
  readonly feedMessages: Map<string, FeedMessage>;
  /** Changes for all balancers since the last tick (feed/pending-updates.ts). */
  readonly updates: UpdateCollector;
  /** Balancers of all control machines (feed/balancer-list.ts). */
  readonly balancers: BalancerList;
  /** Loads of back ends (feed/load-tables.ts). */
  readonly loads: ExchangedTable;
  /** Answer stats of back ends (feed/load-tables.ts). */
  readonly answerStats: ExchangedTable;
  /** Evidence on back ends that fail (feed/suspicion-exchange.ts). */
  readonly suspicions: SharedSuspicions;
  /** Current configuration and its recent changes (feed/config-history.ts). */
  readonly configs: ConfigHistory;
  /** Times at which this machine observed zone readmissions (zone-readmissions.ts). */
  readonly readmissions: ZoneReadmissions;
  /** Detects pauses of this process, after which queued orders may be outdated (calls/order-stall-detector.ts). */
  readonly stallDetector: StallDetector;
}

/**
 * Batches and snapshot chunks are small enough to be sent within an election timeout: 80 and 40 ms on a link of 51 Mbit/s.
 * Trailing entries let followers catch up after a short lag without a snapshot.
 */
const REPLICATION_OPTIONS = {
  maxBatchEntries: 64,
  maxBatchBytes: 512 * 1024,
  maxInFlightBatches: 4,
  snapshotChunkBytes: 256 * 1024,
  trailingEntries: 16,
} as const;

/**
 * @param recovered state read from disk
 * @param start number of this start; differs from those of previous starts
 * @returns the initial state of a control machine
 */
export function createGroupState(
  options: GroupOptions,
  recovered: RecoveredState,
  start: StartNumber,
): GroupState {
  const nodeId = nodeIdOf(options.linkAddress, recovered.storageId);
  const consensusOptions = groupConsensusOptions(options.timing, options.minimumCopies);
  const consensus = createConsensusState(nodeId, recovered, consensusOptions);
  const replicated = recoverReplicatedState(consensus);
  const document = replicated.config;
  return {
    options,
    clusterId: clusterIdOf(options.seeds),
    consensus,
    replicated,
    registry: new HeartbeatRegistry(options.heartbeatIntervalMs),
    heartbeats: createHeartbeatExchange(options.heartbeatIntervalMs),
    backendList: createBackendListProgress(),
    calls: createPendingCalls(start),
    announcements: createAnnouncements(options.seeds),
    subscribers: new Map(),
    feedMessages: new Map(),
    updates: createUpdateCollector(),
    balancers: createBalancerList(),
    loads: createExchangedTable(LOAD_ROWS),
    answerStats: createExchangedTable(ANSWER_STATS_ROWS),
    suspicions: createSharedSuspicions(),
    configs: createConfigHistory(document && options.readDocument(document).unwrapOr(undefined)),
    readmissions: createZoneReadmissions(),
    stallDetector: createOrderStallDetector(),
  };
}

function groupConsensusOptions(timing: Timing, minimumCopies: number): ConsensusOptions {
  return { ...REPLICATION_OPTIONS, ...timing.consensus, minimumCopies };
}

/** Applies the snapshot and the entries that are known to be committed. */
function recoverReplicatedState({ snapshot, log, commitIndex }: ConsensusState): ReplicatedState {
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

function clusterIdOf(seeds: readonly Address[]): string {
  return seeds.map(formatAddress).sort().join(',');
}
