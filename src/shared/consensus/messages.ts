/**
 * @file Types of the messages between the members of a consensus group.
 */
import type { LogEntry } from './log.js';
import type { Membership, NodeId } from './membership.js';

/** Asks whether a vote would be granted, without changing the receiver's state. */
export interface PreVoteRequest {
  readonly type: 'pre-vote-request';
  /** Term in which the sender would campaign. */
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Response to a pre-vote request. */
export interface PreVoteResponse {
  readonly type: 'pre-vote-response';
  /** The requested term if granted, otherwise the responder's current term. */
  readonly term: number;
  readonly granted: boolean;
}

/** Asks for a vote in the sender's term. */
export interface VoteRequest {
  readonly type: 'vote-request';
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** True if the leader requested this election to transfer leadership. */
  readonly isTransfer: boolean;
}

/** Response to a vote request. */
export interface VoteResponse {
  readonly type: 'vote-response';
  readonly term: number;
  readonly granted: boolean;
}

/** Leader to member: entries after a log position, or a heartbeat if there are none. */
export interface AppendRequest {
  readonly type: 'append-request';
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  /** Index up to which the receiver may commit. */
  readonly commitIndex: number;
  /** Read confirmation round, echoed in the response. */
  readonly round: number;
}

/** Response to an append request or to the last chunk of a snapshot. */
export type AppendResponse = {
  readonly type: 'append-response';
  readonly term: number;
  readonly round: number;
} & (
  | { readonly success: true; readonly matchIndex: number }
  | {
      readonly success: false;
      /** `previousIndex` of the request, at which the logs do not match. */
      readonly rejectedIndex: number;
      /** Highest index at which the logs may match. */
      readonly hintIndex: number;
    }
);

/** Leader to member: one chunk of a snapshot. */
export interface SnapshotChunk {
  readonly type: 'snapshot-chunk';
  readonly term: number;
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly membership: Membership;
  /** Byte offset of the chunk in the snapshot. */
  readonly offset: number;
  readonly totalBytes: number;
  readonly data: Uint8Array;
}

/** Member to leader: byte offset of the snapshot chunk that it needs next. */
export interface SnapshotChunkResponse {
  readonly type: 'snapshot-chunk-response';
  readonly term: number;
  readonly snapshotIndex: number;
  readonly nextOffset: number;
}

/** Leader to voter: start an election immediately, as part of a leadership transfer. */
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

/** Sender of a message; its votes and acknowledgements count only if both IDs match a member. */
export interface Sender {
  readonly nodeId: NodeId;
  readonly storageId: string;
}
