/**
 * @file Messages between the members of a consensus group.
 */
import type { LogEntry } from './log.js';
import type { Membership, NodeId } from './membership.js';

/** Asks whether a vote would be granted; changes nothing at the receiver. */
export interface PreVoteRequest {
  readonly type: 'pre-vote-request';
  /** The term that the sender would campaign in. */
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answer to a pre-vote request. */
export interface PreVoteResponse {
  readonly type: 'pre-vote-response';
  /** The term asked about where granted, else the receiver's own term. */
  readonly term: number;
  readonly granted: boolean;
}

/** Asks for a vote. */
export interface VoteRequest {
  readonly type: 'vote-request';
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** True where the leader itself asked the sender to take over. */
  readonly isTransfer: boolean;
}

/** Answer to a vote request. */
export interface VoteResponse {
  readonly type: 'vote-response';
  readonly term: number;
  readonly granted: boolean;
}

/** Leader to member: entries after a position; without entries a heartbeat. */
export interface AppendRequest {
  readonly type: 'append-request';
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  /** What the receiver may commit. */
  readonly commitIndex: number;
  /** Number of the confirmation round, echoed in the response. */
  readonly round: number;
}

/** Answer to an append request or to the last chunk of a snapshot. */
export type AppendResponse = {
  readonly type: 'append-response';
  readonly term: number;
  readonly round: number;
} & (
  | { readonly success: true; readonly matchIndex: number }
  | {
      readonly success: false;
      /** The previous index of the request that did not match. */
      readonly rejectedIndex: number;
      /** The highest index that may match. */
      readonly hintIndex: number;
    }
);

/** Leader to member: a part of a snapshot. */
export interface SnapshotChunk {
  readonly type: 'snapshot-chunk';
  readonly term: number;
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly membership: Membership;
  /** Where the part stands in the snapshot, in bytes. */
  readonly offset: number;
  readonly totalBytes: number;
  readonly data: Uint8Array;
}

/** Member to leader: which part of a snapshot it wants next. */
export interface SnapshotChunkResponse {
  readonly type: 'snapshot-chunk-response';
  readonly term: number;
  readonly snapshotIndex: number;
  readonly nextOffset: number;
}

/** Leader to voter: campaign at once, without waiting for a timeout. */
export interface TimeoutNow {
  readonly type: 'timeout-now';
  readonly term: number;
}

/** Any message of the consensus protocol. */
export type ConsensusMessage =
  | PreVoteRequest
  | PreVoteResponse
  | VoteRequest
  | VoteResponse
  | AppendRequest
  | AppendResponse
  | SnapshotChunk
  | SnapshotChunkResponse
  | TimeoutNow;

/** Who sent a message; votes and acknowledgements count only from the member meant by both IDs. */
export interface Sender {
  readonly nodeId: NodeId;
  readonly storageId: string;
}
