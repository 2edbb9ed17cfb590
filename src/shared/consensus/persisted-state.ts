/**
 * @file What a member keeps on disk: the records that are appended, the snapshot, and the state that is
 * recovered from them. Plain data, so that real and virtual disks hold the same.
 */
import type { LogEntry, LogPosition } from './log.js';
import type { Membership, NodeId } from './membership.js';

/** A record of the log file; the order of records matters. */
export type LogRecord =
  /** First record of a log file: the position after which its entries begin. */
  | { readonly type: 'base'; readonly base: LogPosition }
  /** The cluster that this machine belongs to from now on. */
  | { readonly type: 'cluster'; readonly clusterId: string }
  | { readonly type: 'vote'; readonly term: number; readonly votedFor: NodeId | undefined }
  | { readonly type: 'entries'; readonly entries: readonly LogEntry[] }
  /** All entries from this index on are void. */
  | { readonly type: 'truncate'; readonly fromIndex: number }
  /** Entries up to this index are known to be committed; written along with others, never alone. */
  | { readonly type: 'commit'; readonly index: number };

/** The state machine at a position, in its encoded form. */
export interface Snapshot extends LogPosition {
  readonly membership: Membership;
  readonly data: Uint8Array;
}

/** What was found on disk at a start. */
export interface RecoveredState {
  /** Made at the first start with an empty disk. */
  readonly storageId: string;
  readonly snapshot: Snapshot | undefined;
  /** Records in the order in which they were written. */
  readonly records: readonly LogRecord[];
}

/** Writes to disk, in order, one at a time. */
export type PersistEffect =
  /** Append these records and sync them. */
  | { readonly type: 'persist'; readonly writeId: number; readonly records: readonly LogRecord[] }
  /** Write the snapshot, sync it, then replace the whole log by these records. */
  | {
      readonly type: 'persist-snapshot';
      readonly writeId: number;
      readonly snapshot: Snapshot;
      readonly records: readonly LogRecord[];
    };

/** How a write ended; each persist effect is answered by one of them. */
export type PersistEvent =
  | { readonly type: 'persisted'; readonly writeId: number }
  | { readonly type: 'persist-failed'; readonly writeId: number; readonly reason: string };
