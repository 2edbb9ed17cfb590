/**
 * @file The calls that wait on this control machine. It owns the calls of its own clients, which wait for their
 * deadline, by which numbers those of them are known that were forwarded, and what the leader has to reply to: proposals
 * and reads under way, for clients or for other machines.
 * Both are lost with the process; clients repeat their calls.
 */
import type { Address } from '../../../shared/common/address.js';
import type { RequestId } from '../group-events.js';
import type { LeaderRequest } from '../group-messages.js';
import { createForwardIds, type StartNumber } from './forward-ids.js';

/** Who gets the reply to a proposal or read of this leader. */
export type ReplyTo =
  | { readonly type: 'client'; readonly requestId: RequestId }
  | { readonly type: 'peer'; readonly address: Address; readonly forwardId: number };

/** A proposal or read under way. */
interface PendingReply {
  readonly replyTo: ReplyTo;
  readonly request: LeaderRequest;
}

/** The calls that wait. */
export interface PendingCalls {
  /** How many calls of clients of this machine wait for their reply. */
  readonly waitingCount: number;
  /** Lets a call of a client wait until its reply or its deadline, in milliseconds. */
  startWaiting(requestId: RequestId, deadlineMs: number): void;
  /** The same for a call that is forwarded. @returns the number by which the leader replies to it */
  startForwarding(requestId: RequestId, deadlineMs: number): number;
  /** Removes and returns the call that waits for the leader's reply to this number; undefined where none does. */
  takeForwarded(forwardId: number): RequestId | undefined;
  /** @returns true where a number was given to a call since this machine started */
  isForwardOfThisStart(forwardId: number): boolean;
  /** @returns true where the call was still waiting; it is not any more */
  stopWaiting(requestId: RequestId): boolean;
  /** Removes and returns the calls whose deadline has passed. */
  takeExpired(nowMs: number): RequestId[];
  /** @returns the number by which consensus knows the proposal or read of this request; positive */
  addPendingReply(pending: PendingReply): number;
  /** @returns the request behind a proposal or read under way */
  requestOf(proposalId: number): LeaderRequest | undefined;
  /** Removes and returns who waits for a proposal or read. */
  takePendingReply(proposalId: number): PendingReply | undefined;
  /** @returns all proposals and reads under way, oldest first */
  pendingIds(): number[];
  /** A proposal has its place in the log, and is not committed yet. */
  recordAppended(index: number, term: number, proposalId: number): void;
  /** Removes the proposal at an index; returns it where the entry that is committed there is its own. */
  takeAppended(index: number, term: number): number | undefined;
  /** Forgets the places in the log: this machine does not lead any more. */
  forgetAppended(): void;
}

/** @returns a machine on which nothing waits, since it has just started */
export function createPendingCalls(start: StartNumber): PendingCalls {
  const forwardIds = createForwardIds(start);
  const deadlines = new Map<RequestId, number>();
  /** Calls that were forwarded, by the number that the leader knows. */
  const forwarded = new Map<number, RequestId>();
  const pendingReplies = new Map<number, PendingReply>();
  /** By the index in the log. */
  const appended = new Map<number, { readonly term: number; readonly proposalId: number }>();
  let nextProposalId = 1;

  return {
    get waitingCount() {
      return deadlines.size;
    },
    startWaiting: (requestId, deadlineMs) => void deadlines.set(requestId, deadlineMs),
    startForwarding,
    takeForwarded,
    isForwardOfThisStart: forwardIds.isOfThisStart,
    stopWaiting: (requestId) => deadlines.delete(requestId),
    takeExpired,
    addPendingReply,
    requestOf: (proposalId) => pendingReplies.get(proposalId)?.request,
    takePendingReply,
    pendingIds: () => [...pendingReplies.keys()],
    recordAppended: (index, term, proposalId) => void appended.set(index, { term, proposalId }),
    takeAppended,
    forgetAppended: () => appended.clear(),
  };

  function startForwarding(requestId: RequestId, deadlineMs: number): number {
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
