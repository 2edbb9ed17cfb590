/**
 * @file Calls that wait on this control machine: calls of its own clients, with their deadlines and forward IDs, and the
 * proposals and reads that it performs as leader, for clients or other machines. Lost on restart; clients retry.
 */
import type { Address } from '../../../shared/common/address.js';
import type { RequestId } from '../group-events.js';
import type { LeaderRequest } from '../group-messages.js';
import { createForwardIds, type StartNumber } from './forward-ids.js';

/** Receiver of the reply to a proposal or read. */
export type ReplyTo =
  | { readonly type: 'client'; readonly requestId: RequestId }
  | { readonly type: 'peer'; readonly address: Address; readonly forwardId: number };

/** A pending proposal or read. */
interface PendingReply {
  readonly replyTo: ReplyTo;
  readonly request: LeaderRequest;
}

/** Table of pending calls. */
export interface PendingCalls {
  /** Number of pending calls of clients of this machine. */
  readonly clientCallCount: number;
  /** Adds a call of a client; `deadlineMs` is a point in time, not a duration. */
  addClientCall(requestId: RequestId, deadlineMs: number): void;
  /** Adds a call that is forwarded. @returns its forward ID, which the reply of the leader carries */
  addForwardedCall(requestId: RequestId, deadlineMs: number): number;
  /** Removes and returns the call with this forward ID; undefined if none is pending. */
  takeForwarded(forwardId: number): RequestId | undefined;
  /** @returns true if the forward ID was issued since this machine started */
  isForwardOfThisStart(forwardId: number): boolean;
  /** Removes a call. @returns false if it was not pending */
  removeClientCall(requestId: RequestId): boolean;
  /** Removes and returns the calls whose deadline has passed. */
  takeExpired(nowMs: number): RequestId[];
  /** @returns the ID of the proposal or read for this request; positive */
  addPendingReply(pending: PendingReply): number;
  /** @returns the request of a pending proposal or read */
  requestOf(proposalId: number): LeaderRequest | undefined;
  /** Removes and returns a pending proposal or read. */
  takePendingReply(proposalId: number): PendingReply | undefined;
  /** @returns the IDs of all pending proposals and reads, oldest first */
  pendingIds(): number[];
  /** Records the log position of a proposal that is appended and not yet committed. */
  recordAppended(index: number, term: number, proposalId: number): void;
  /** Removes the proposal at an index; returns its ID if the entry committed there has the same term. */
  takeAppended(index: number, term: number): number | undefined;
  /** Removes all log positions, after leadership was lost. */
  forgetAppended(): void;
}

/** @returns an empty table */
export function createPendingCalls(start: StartNumber): PendingCalls {
  const forwardIds = createForwardIds(start);
  const deadlines = new Map<RequestId, number>();
  /** Forwarded calls, by forward ID. */
  const forwarded = new Map<number, RequestId>();
  const pendingReplies = new Map<number, PendingReply>();
  /** Appended proposals, by log index. */
  const appended = new Map<number, { readonly term: number; readonly proposalId: number }>();
  let nextProposalId = 1;

  return {
    get clientCallCount() {
      return deadlines.size;
    },
    addClientCall: (requestId, deadlineMs) => void deadlines.set(requestId, deadlineMs),
    addForwardedCall,
    takeForwarded,
    isForwardOfThisStart: forwardIds.isOfThisStart,
    removeClientCall: (requestId) => deadlines.delete(requestId),
    takeExpired,
    addPendingReply,
    requestOf: (proposalId) => pendingReplies.get(proposalId)?.request,
    takePendingReply,
    pendingIds: () => [...pendingReplies.keys()],
    recordAppended: (index, term, proposalId) => void appended.set(index, { term, proposalId }),
    takeAppended,
    forgetAppended: () => appended.clear(),
  };

  function addForwardedCall(requestId: RequestId, deadlineMs: number): number {
    const forwardId = forwardIds.next();
    deadlines.set(requestId, deadlineMs);
    forwarded.set(forwardId, requestId);
    return forwardId;
  }

  function takeForwarded(forwardId: number): RequestId | undefined {
    const requestId = forwarded.get(forwardId);
    forwarded.delete(forwardId);
    return requestId !== undefined && deadlines.delete(requestId) ? requestId : undefined;
  }

  function takeExpired(nowMs: number): RequestId[] {
    const expired = [...deadlines].filter(([, deadlineMs]) => nowMs >= deadlineMs);
    const requestIds = expired.map(([requestId]) => requestId);
    requestIds.forEach((requestId) => deadlines.delete(requestId));
    for (const [forwardId, requestId] of forwarded) {
      if (!deadlines.has(requestId)) {
        forwarded.delete(forwardId);
      }
    }
    return requestIds;
  }

  function addPendingReply(pending: PendingReply): number {
    const proposalId = nextProposalId;
    nextProposalId += 1;
    pendingReplies.set(proposalId, pending);
    return proposalId;
  }

  function takePendingReply(proposalId: number): PendingReply | undefined {
    const pending = pendingReplies.get(proposalId);
    pendingReplies.delete(proposalId);
    return pending;
  }

  function takeAppended(index: number, term: number): number | undefined {
    const proposal = appended.get(index);
    appended.delete(index);
    return proposal?.term === term ? proposal.proposalId : undefined;
  }
}
