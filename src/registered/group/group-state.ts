/**
 * @file The state of a control machine, put together from the parts that its modules own. Each part is made by one
 * factory, in the module that is named here, and changed through its functions; duties declare which parts they need.
 * Only `consensus` and `replicated` are durable; all else is rebuilt after a restart.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { LinkId } from '../../shared/common/link-table.js';
import type { StallDetector } from '../../shared/common/stall-guard.js';
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
import { createOrderGuard } from './calls/order-guard.js';
import { createPendingCalls, type PendingCalls } from './calls/pending-calls.js';
import { createBalancerList, type BalancerList } from './feed/balancer-list.js';
import { createConfigHistory, type ConfigHistory } from './feed/config-history.js';
import { createExchangedTable, type ExchangedTable } from './feed/load-tables.js';
import { createUpdateCollector, type UpdateCollector } from './feed/pending-updates.js';
import type { Subscriber } from './feed/subscribers.js';
import { createAnnouncements, type Announcements } from './members/announcements.js';
import { memberName } from './members/member-identity.js';
import type { FeedMessage } from './group-messages.js';
import type { GroupOptions } from './group-options.js';
import { decodeGroupCommand, ReplicatedState } from './replicated-state.js';
import type { Timing } from './timing.js';
import { createZoneReadmissions, type ZoneReadmissions } from './zone-readmissions.js';

/** The state of one control machine. */
export interface GroupState {
  readonly options: GroupOptions;
  /** Names the group; taken from the seeds at the first start only, since these may change later. */
  readonly clusterId: string;
  /** Term, vote, log and membership; changed by src/shared/consensus. */
  readonly consensus: ConsensusState;
  /** What the group agrees on; changed by applied-entries.ts. */
  readonly replicated: ReplicatedState;
  /** The last heartbeat of each back end; changed by heartbeats.ts and liveness-updates.ts of backends/. */
  readonly registry: HeartbeatRegistry;
  /** Heartbeats that wait to be sent to the other control machines (backends/heartbeat-exchange.ts). */
  readonly heartbeats: HeartbeatExchange;
  /** How far registry and replicated list are in step (backends/backend-list-progress.ts). */
  readonly backendList: BackendListProgress;
  /** Calls and proposals that wait (calls/pending-calls.ts). */
  readonly calls: PendingCalls;
  /** Machines that ask to be admitted, and this one's own request (members/announcements.ts). */
  readonly announcements: Announcements;
  /** Balancers that are fed here, by their links; changed by feed/balancer-feed.ts. */
  readonly subscribers: Map<LinkId, Subscriber>;
  /** Messages that were made since the last tick, by their plans; changed by feed-messages.ts of feed/. */
  readonly feedMessages: Map<string, FeedMessage>;
  /** What has changed for all balancers since the last tick (feed/pending-updates.ts). */
  readonly updates: UpdateCollector;
  /** The balancers of all control machines (feed/balancer-list.ts). */
  readonly balancers: BalancerList;
  /** Loads of back ends (feed/load-tables.ts). */
  readonly loads: ExchangedTable;
  /** How back ends answer (feed/load-tables.ts). */
  readonly answerStats: ExchangedTable;
  /** The configuration in force, with what changed lately (feed/config-history.ts). */
  readonly configs: ConfigHistory;
  /** When this machine saw zones being readmitted (zone-readmissions.ts). */
  readonly readmissions: ZoneReadmissions;
  /** Detects pauses of this process, for orders that waited meanwhile (calls/order-guard.ts). */
  readonly stallGuard: StallDetector;
}

/**
 * How consensus sends entries. A batch and a part of a snapshot are bounded so that a link of 51 Mbit/s carries them in
 * 80 and 40 ms, below the election time-out (docs/incidents/tv-cartago-grown-drain.md). The numbers of entries and of
 * batches under way, and the entries that are kept behind a snapshot for members that lag, are not measured: too few
 * kept entries would show as `snapshot taken over` after short pauses of a follower.
 */
const REPLICATION_OPTIONS = {
  maxBatchEntries: 64,
  maxBatchBytes: 512 * 1024,
  maxInFlightBatches: 4,
  snapshotChunkBytes: 256 * 1024,
  trailingEntries: 16,
} as const;

/**
 * @param recovered what was found on disk
 * @param start names this start; another one than at the starts before
 * @returns the state of a control machine that starts
 */
export function createGroupState(
  options: GroupOptions,
  recovered: RecoveredState,
  start: StartNumber,
): GroupState {
  const nodeId = memberName(options.linkAddress, recovered.storageId);
  const consensusOptions = groupConsensusOptions(options.timing, options.minimumCopies);
  const consensus = createConsensusState(nodeId, recovered, consensusOptions);
  const replicated = recoverReplicated(consensus);
  const document = replicated.config;
  return {
    options,
    clusterId: clusterIdOf(options.seeds),
    consensus,
    replicated,
    registry: new HeartbeatRegistry(options.heartbeatIntervalMs),
    heartbeats: createHeartbeatExchange(),
    backendList: createBackendListProgress(),
    calls: createPendingCalls(start),
    announcements: createAnnouncements(options.seeds),
    subscribers: new Map(),
    feedMessages: new Map(),
    updates: createUpdateCollector(),
    balancers: createBalancerList(),
    loads: createExchangedTable(LOAD_ROWS),
    answerStats: createExchangedTable(ANSWER_STATS_ROWS),
    configs: createConfigHistory(document && options.readDocument(document)),
    readmissions: createZoneReadmissions(),
    stallGuard: createOrderGuard(),
  };
}

function groupConsensusOptions(timing: Timing, minimumCopies: number): ConsensusOptions {
  return { ...REPLICATION_OPTIONS, ...timing.consensus, minimumCopies };
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

function clusterIdOf(seeds: readonly Address[]): string {
  return seeds.map(formatAddress).sort().join(',');
}
