/**
 * @file State of one member of a consensus group, and its recovery from disk.
 */
import type { LogPosition } from './log.js';
import { ReplicatedLog } from './log.js';
import type { ConsensusMessage } from './messages.js';
import { findMember, emptyMembership, type Membership, type NodeId } from './membership.js';
import type { LogRecord, RecoveredState, Snapshot } from './persisted-state.js';

/** Options of a member; all times in milliseconds. */
export interface ConsensusOptions {
  /** Interval between a leader's heartbeats. */
  readonly heartbeatIntervalMs: number;
  /**
   * A follower campaigns after one to two times this without a message from the leader; a leader steps down after this
   * time without responses from a quorum.
   */
  readonly electionTimeoutMs: number;
  /**
   * Election timeout until the first message of a leader after a start. May be short, since members in contact with a
   * leader refuse the pre-vote. Default `electionTimeoutMs`.
   */
  readonly firstElectionTimeoutMs?: number;
  /** Maximum entries in one message. */
  readonly maxBatchEntries: number;
  /** Maximum bytes of entries in one message; a single larger entry is sent alone. */
  readonly maxBatchBytes: number;
  /** Maximum unacknowledged messages with entries per member. */
  readonly maxInFlightBatches: number;
  /** Maximum bytes of one snapshot chunk. */
  readonly snapshotChunkBytes: number;
  /** Entries kept before a snapshot, so that a slightly lagging member needs no snapshot. */
  readonly trailingEntries: number;
  /**
   * Voters that must have an entry on disk before it is committed, in addition to the quorum rule; all voters if there
   * are fewer. Default 1, which adds nothing to the quorum.
   */
  readonly minimumCopies?: number;
}

/**
 * Options of the `control` machines; `group` machines use their own timing.
 */
export const defaultConsensusOptions: ConsensusOptions = {
  heartbeatIntervalMs: 100,
  electionTimeoutMs: 500,
  maxBatchEntries: 256,
  maxBatchBytes: 256 * 1024,
  maxInFlightBatches: 8,
  snapshotChunkBytes: 256 * 1024,
  trailingEntries: 1_000,
};

/** Replication progress of one other member, as known to the leader. */
export interface Progress {
  /** `probe` finds where the logs match, `replicate` pipelines batches, `snapshot` sends a snapshot. */
  mode: 'probe' | 'replicate' | 'snapshot';
  /** Highest index known to be on the member's disk. */
  matchIndex: number;
  /** Next index to send. */
  nextIndex: number;
  /** Last index of each unacknowledged batch, oldest first. */
  inFlight: number[];
  /** Highest confirmation round that the member has echoed. */
  ackedRound: number;
  /** When the member's last response arrived. */
  receivedAtMs: number;
  outgoingSnapshot: OutgoingSnapshot | undefined;
}

/** A snapshot that is being sent. */
export interface OutgoingSnapshot {
  readonly snapshot: Snapshot;
  /** Byte offset of the chunk that the member needs next. */
  offset: number;
  /** When that chunk was last sent. */
  sentAtMs: number;
}

/** A read that waits until a quorum has confirmed that this member is still the leader. */
export interface PendingRead {
  readonly readId: number;
  /** The confirmation round that it waits for; undefined until the term's first commit. */
  round: number | undefined;
}

/** The state that only a leader has. */
export interface LeaderRole {
  readonly name: 'leader';
  readonly progress: Map<NodeId, Progress>;
  /** Index of the no-op that began the term. */
  readonly termStartIndex: number;
  /** Number of the last confirmation round. */
  round: number;
  pendingReads: PendingRead[];
  nextHeartbeatAtMs: number;
  /** Transfer in progress; no proposals are accepted while it is set. */
  leadershipTransfer:
    { readonly target: NodeId; readonly deadlineMs: number; isTimeoutNowSent: boolean } | undefined;
}

/** The role of a member. */
export type ConsensusRole =
  | { readonly name: 'follower' }
  /** Receives the log but never campaigns: a learner, or a machine outside the group. */
  | { readonly name: 'learner' }
  | { readonly name: 'pre-candidate'; readonly granted: Set<NodeId> }
  | { readonly name: 'candidate'; readonly granted: Set<NodeId> }
  | LeaderRole;

/** An action that waits for the writes queued before it to be on disk. */
export type DeferredAction =
  | { readonly type: 'send'; readonly to: NodeId; readonly message: ConsensusMessage }
  | { readonly type: 'count-own-vote'; readonly term: number };

/** A disk write in progress. */
export interface WriteInFlight {
  readonly writeId: number;
  /** Highest index on disk once the write is done. */
  lastIndex: number;
  readonly deferred: DeferredAction[];
}

/** Disk writes of a member: at most one in flight, later records are batched into the next one. */
export interface Persistence {
  nextWriteId: number;
  inFlight: WriteInFlight | undefined;
  records: LogRecord[];
  deferred: DeferredAction[];
  /** True if the next write is a snapshot, which replaces the log file. */
  isSnapshotPending: boolean;
  /** Last commit index queued for the disk. */
  queuedCommitIndex: number;
}

/** A membership and the log index of the entry that set it. */
export interface IndexedMembership {
  readonly index: number;
  readonly membership: Membership;
}

/** A snapshot that is being received. */
export interface IncomingSnapshot extends LogPosition {
  readonly membership: Membership;
  readonly totalBytes: number;
  readonly chunks: Uint8Array[];
  receivedBytes: number;
}

/** State of one member. */
export interface ConsensusState {
  readonly options: ConsensusOptions;
  readonly nodeId: NodeId;
  readonly storageId: string;
  /** Undefined until this machine joins a cluster. */
  clusterId: string | undefined;
  term: number;
  /** Storage ID of the candidate that this member voted for in `term`. */
  votedFor: string | undefined;
  role: ConsensusRole;
  /** Leader of `term`, if known. */
  leaderId: NodeId | undefined;
  readonly log: ReplicatedLog;
  snapshot: Snapshot | undefined;
  /** Oldest first, never empty; the last one is in effect. */
  memberships: IndexedMembership[];
  commitIndex: number;
  /** Highest log index on this member's disk. */
  persistedIndex: number;
  readonly persistence: Persistence;
  /** True after a failed write; this member then stays inactive until it is restarted. */
  storageFailed: boolean;
  /** When the last message from a leader arrived; -Infinity if none has. */
  leaderContactAtMs: number;
  /** Time of the next campaign; undefined until the deadline is first set. */
  electionDeadlineMs: number | undefined;
  incomingSnapshot: IncomingSnapshot | undefined;
}

/**
 * @param recovered state read from disk
 * @returns initial state of a member; entries up to `commitIndex` may be applied immediately
 */
export function createConsensusState(
  nodeId: NodeId,
  recovered: RecoveredState,
  options: ConsensusOptions = defaultConsensusOptions,
): ConsensusState {
  const { snapshot } = recovered;
  const state: ConsensusState = {
    options,
    nodeId,
    storageId: recovered.storageId,
    clusterId: undefined,
    term: 0,
    votedFor: undefined,
    role: { name: 'learner' },
    leaderId: undefined,
    log: new ReplicatedLog(),
    snapshot,
    memberships: [
      { index: snapshot?.index ?? 0, membership: snapshot?.membership ?? emptyMembership },
    ],
    commitIndex: 0,
    persistedIndex: 0,
    persistence: {
      nextWriteId: 1,
      inFlight: undefined,
      records: [],
      deferred: [],
      isSnapshotPending: false,
      queuedCommitIndex: 0,
    },
    storageFailed: false,
    leaderContactAtMs: Number.NEGATIVE_INFINITY,
    electionDeadlineMs: undefined,
    incomingSnapshot: undefined,
  };
  for (const record of recovered.records) {
    replayRecord(state, record);
  }
  finishRecovery(state);
  return state;
}

function replayRecord(state: ConsensusState, record: LogRecord): void {
  switch (record.type) {
    case 'base':
      state.log.reset(record.base);
      return;
    case 'cluster':
      state.clusterId = record.clusterId;
      return;
    case 'vote':
      state.term = record.term;
      state.votedFor = record.votedFor;
      return;
    case 'entries':
      record.entries.forEach((entry) => state.log.append(entry));
      return;
    case 'truncate':
      state.log.truncateFrom(record.fromIndex);
      return;
    case 'commit':
      state.commitIndex = Math.max(state.commitIndex, record.index);
      return;
  }
}

function finishRecovery(state: ConsensusState): void {
  const { snapshot, log } = state;
  if (snapshot !== undefined && log.termAt(snapshot.index) !== snapshot.term) {
    // A crash after the snapshot was written left the old log file, which the snapshot supersedes.
    log.reset({ index: snapshot.index, term: snapshot.term });
  }
  if (log.last.term > state.term) {
    // Such a crash also lost the term record; this member has not voted in that term.
    state.term = log.last.term;
    state.votedFor = undefined;
  }
  const knownCommitIndex = Math.max(state.commitIndex, snapshot?.index ?? 0);
  state.commitIndex = Math.min(knownCommitIndex, log.last.index);
  state.persistedIndex = log.last.index;
  state.persistence.queuedCommitIndex = state.commitIndex;
  for (const entry of log.slice((snapshot?.index ?? 0) + 1, log.last.index)) {
    if (entry.content.type === 'membership') {
      state.memberships.push({ index: entry.index, membership: entry.content.membership });
    }
  }
  state.role = followerOrLearnerRole(state);
}

/**
 * @returns the last membership in the log, which is in effect whether or not it is committed
 */
export function currentMembership(state: ConsensusState): Membership {
  return state.memberships.at(-1)?.membership ?? emptyMembership;
}

/**
 * @returns true if this machine is a voter with its current storage ID
 */
export function isVoter(state: ConsensusState): boolean {
  const member = findMember(currentMembership(state), state.nodeId);
  return member?.role === 'voter' && member.storageId === state.storageId;
}

/**
 * @returns the role of a member that is neither leader nor campaigning
 */
export function followerOrLearnerRole(state: ConsensusState): ConsensusRole {
  return { name: isVoter(state) ? 'follower' : 'learner' };
}
