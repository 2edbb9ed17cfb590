/**
 * @file The state of one member of a consensus group, and how it is rebuilt from disk at a start.
 */
import type { LogPosition } from './log.js';
import { ReplicatedLog } from './log.js';
import type { ConsensusMessage } from './messages.js';
import { findMember, noMembers, type Membership, type NodeId } from './membership.js';
import type { LogRecord, RecoveredState, Snapshot } from './persisted-state.js';

/** Options of a member; all times in milliseconds. */
export interface ConsensusOptions {
  /** Time between two heartbeats of a leader. */
  readonly heartbeatIntervalMs: number;
  /**
   * A follower campaigns after one to two times this without a message from a leader; a leader that no
   * quorum has answered for this time steps down.
   */
  readonly electionTimeoutMs: number;
  /**
   * The same until the first message of a leader after a start. It may be short, since members that are in contact with a
   * leader refuse the pre-vote.
   * Default `electionTimeoutMs`.
   */
  readonly firstElectionTimeoutMs?: number;
  /** Bound of entries in one message. */
  readonly maxBatchEntries: number;
  /** Bound of bytes in one message; a single longer entry is sent alone. */
  readonly maxBatchBytes: number;
  /** Bound of messages with entries that are under way to one member. */
  readonly maxInFlightBatches: number;
  /** Bytes of one part of a snapshot. */
  readonly snapshotChunkBytes: number;
  /** Entries kept before a snapshot, for members that lag a little. */
  readonly trailingEntries: number;
  /**
   * An entry is committed only once so many voters have it on disk, or all where there are fewer. More
   * than a quorum lets that many disks less one be lost right after an acknowledgement. Default 1: a
   * quorum decides alone.
   */
  readonly minimumCopies?: number;
}

/**
 * The options of a control machine of `control`; `group` has its own times. The times are not measured one by one: after the
 * kill of a leader of three the next command was accepted after 0.78 to 1.05 s (docs/design/consensus.md).
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

/** What a leader knows about one other member. */
export interface Progress {
  /** `probe` finds where the logs match, `replicate` sends ahead, `snapshot` sends a snapshot. */
  mode: 'probe' | 'replicate' | 'snapshot';
  /** Highest index known to be on the member's disk. */
  matchIndex: number;
  /** Next index to send. */
  nextIndex: number;
  /** Last index of each batch under way, oldest first. */
  inFlight: number[];
  /** Highest confirmation round that the member has echoed. */
  ackedRound: number;
  receivedAtMs: number;
  sending: OutgoingSnapshot | undefined;
}

/** A snapshot that is being sent. */
export interface OutgoingSnapshot {
  readonly snapshot: Snapshot;
  /** Where the part stands that the member wants next, in bytes. */
  offset: number;
  /** When that part was last sent. */
  sentAtMs: number;
}

/** A read that waits until a quorum has confirmed that this member still leads. */
export interface PendingRead {
  readonly readId: number;
  /** The round whose confirmation it waits for; undefined until the term's first commit. */
  round: number | undefined;
}

/** The state that only a leader has. */
export interface LeaderRole {
  readonly name: 'leader';
  readonly progress: Map<NodeId, Progress>;
  /** Index of the no-op that began the term. */
  readonly termStartIndex: number;
  /** Number of the last confirmation round that was sent. */
  round: number;
  pendingReads: PendingRead[];
  nextHeartbeatAtMs: number;
  /** Leadership is being handed to this voter; no proposals are accepted meanwhile. */
  leadershipTransfer:
    { readonly target: NodeId; readonly deadlineMs: number; asked: boolean } | undefined;
}

/** The role of a member. */
export type ConsensusRole =
  | { readonly name: 'follower' }
  /** Receives the log but does not vote for itself: a learner, or a machine outside the group. */
  | { readonly name: 'learner' }
  | { readonly name: 'pre-candidate'; readonly granted: Set<NodeId> }
  | { readonly name: 'candidate'; readonly granted: Set<NodeId> }
  | LeaderRole;

/** What is done once the writes before it are on disk. */
export type DeferredAction =
  | { readonly type: 'send'; readonly to: NodeId; readonly message: ConsensusMessage }
  | { readonly type: 'count-own-vote'; readonly term: number };

/** A write under way. */
export interface WriteInFlight {
  readonly writeId: number;
  /** Highest index on disk once it is done. */
  lastIndex: number;
  readonly deferred: DeferredAction[];
}

/** The writes of a member: one under way, what gathers meanwhile shares the next. */
export interface Persistence {
  nextWriteId: number;
  inFlight: WriteInFlight | undefined;
  records: LogRecord[];
  deferred: DeferredAction[];
  /** True where the next write replaces the log by snapshot and rest. */
  snapshotIsDue: boolean;
  /** Commit index that was last queued for the disk. */
  queuedCommitIndex: number;
}

/** A membership and the index of the entry that set it. */
export interface MembershipAt {
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

/** The state of one member. */
export interface ConsensusState {
  readonly options: ConsensusOptions;
  readonly nodeId: NodeId;
  readonly storageId: string;
  /** Undefined until this machine belongs to a cluster. */
  clusterId: string | undefined;
  term: number;
  /** Storage ID of the candidate that got this member's vote in `term`. */
  votedFor: string | undefined;
  role: ConsensusRole;
  /** The leader of `term`, where known. */
  leaderId: NodeId | undefined;
  readonly log: ReplicatedLog;
  snapshot: Snapshot | undefined;
  /** Oldest first; the last one is in effect. Never empty. */
  memberships: MembershipAt[];
  commitIndex: number;
  /** Highest index on this member's own disk. */
  persistedIndex: number;
  readonly persistence: Persistence;
  /** True after a failed write: this member takes part in nothing until it is restarted. */
  storageFailed: boolean;
  /** When a message from the leader of `term` last came. */
  leaderContactAtMs: number;
  /** When to campaign; undefined until the first tick. */
  electionDeadlineMs: number | undefined;
  incomingSnapshot: IncomingSnapshot | undefined;
}

/**
 * @param recovered what was found on disk
 * @returns the state of a member that starts; entries up to `commitIndex` may be applied at once
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
    memberships: [{ index: snapshot?.index ?? 0, membership: snapshot?.membership ?? noMembers }],
    commitIndex: 0,
    persistedIndex: 0,
    persistence: {
      nextWriteId: 1,
      inFlight: undefined,
      records: [],
      deferred: [],
      snapshotIsDue: false,
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
    // The crash came between writing the snapshot and replacing the log, which it supersedes.
    log.reset({ index: snapshot.index, term: snapshot.term });
  }
  if (log.last.term > state.term) {
    // The same crash lost the term in which the snapshot came; no vote was given in it.
    state.term = log.last.term;
    state.votedFor = undefined;
  }
  const known = Math.max(state.commitIndex, snapshot?.index ?? 0);
  state.commitIndex = Math.min(known, log.last.index);
  state.persistedIndex = log.last.index;
  state.persistence.queuedCommitIndex = state.commitIndex;
  for (const entry of log.slice((snapshot?.index ?? 0) + 1, log.last.index)) {
    if (entry.content.type === 'membership') {
      state.memberships.push({ index: entry.index, membership: entry.content.membership });
    }
  }
  state.role = restingRole(state);
}

/**
 * @returns the membership in effect: the last one in the log, committed or not
 */
export function currentMembership(state: ConsensusState): Membership {
  return state.memberships.at(-1)?.membership ?? noMembers;
}

/**
 * @returns true where this machine, with this disk, is a voter
 */
export function isVoter(state: ConsensusState): boolean {
  const member = findMember(currentMembership(state), state.nodeId);
  return member?.role === 'voter' && member.storageId === state.storageId;
}

/**
 * @returns the role of a member that neither leads nor campaigns
 */
export function restingRole(state: ConsensusState): ConsensusRole {
  return { name: isVoter(state) ? 'follower' : 'learner' };
}
