/**
 * @file Types of the data that a member keeps on disk: log records, the snapshot, and the state recovered from them.
 * Plain data, so that real and simulated disks share them.
 */
import type { LogEntry, LogPosition } from './log.js';
import type { Membership, NodeId } from './membership.js';

/** A record of the log file; records are replayed in the order in which they were written. */
export type LogRecord =
  /** First record of a log file: the position just before its first entry. */
  | { readonly type: 'base'; readonly base: LogPosition }
  /** The cluster that this machine has joined. */
  | { readonly type: 'cluster'; readonly clusterId: string }
  | { readonly type: 'vote'; readonly term: number; readonly votedFor: NodeId | undefined }
  | { readonly type: 'entries'; readonly entries: readonly LogEntry[] }
  /** Removes all entries from this index on. */
  | { readonly type: 'truncate'; readonly fromIndex: number }
  /** Commit index; only written together with other records. */
  | { readonly type: 'commit'; readonly index: number };

/** The encoded state machine at a log position. */
export interface Snapshot extends LogPosition {
  readonly membership: Membership;
  readonly data: Uint8Array;
}

/** State read from disk at startup. */
export interface RecoveredState {
  /** Generated at the first start with an empty disk. */
  readonly storageId: string;
  readonly snapshot: Snapshot | undefined;
  /** Records in write order. */
  readonly records: readonly LogRecord[];
}

/** A disk write; writes are issued one at a time. */
export type PersistEffect =
  /** Append these records to the log file and sync it. */
  | { readonly type: 'persist'; readonly writeId: number; readonly records: readonly LogRecord[] }
  /** Write and sync the snapshot, then replace the log file with these records. */
  | {
      readonly type: 'persist-snapshot';
      readonly writeId: number;
      readonly snapshot: Snapshot;
      readonly records: readonly LogRecord[];
    };

/** Result of a write; each persist effect is answered by exactly one. */
export type PersistEvent =
  | { readonly type: 'persisted'; readonly writeId: number }
  | { readonly type: 'persist-failed'; readonly writeId: number; readonly reason: string };
