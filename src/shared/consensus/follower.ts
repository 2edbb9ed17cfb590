/**
 * @file Receiving side of log replication: stores entries after a matching position, drops conflicting uncommitted
 * entries, and acknowledges once everything is on disk.
 */
import type { StepScope } from './consensus-events.js';
import { followerOrLearnerRole, type ConsensusState } from './consensus-state.js';
import type { LogEntry } from './log.js';
import type { AppendRequest, Sender } from './messages.js';
import { truncateLog } from './persistence.js';
import {
  advanceCommitIndex,
  appendEntries,
  becomeFollower,
  resetElectionDeadline,
  sendPersisted,
} from './roles.js';

/**
 * Follows the sender of an append request or snapshot chunk as the leader of `term`.
 */
export function followLeader(scope: StepScope, from: Sender, term: number): void {
  const { state, context } = scope;
  const isFollowing = state.role.name === 'follower' || state.role.name === 'learner';
  if (term > state.term || !isFollowing || state.leaderId !== from.nodeId) {
    becomeFollower(scope, term, from.nodeId);
  }
  state.leaderContactAtMs = context.nowMs;
  resetElectionDeadline(scope);
}

/**
 * Handles entries or a heartbeat from the leader of the current term.
 */
export function handleAppendRequest(scope: StepScope, from: Sender, request: AppendRequest): void {
  const { state } = scope;
  const { previousIndex, previousTerm, round } = request;
  if (!matchesLog(state, previousIndex, previousTerm)) {
    sendPersisted(scope, from.nodeId, {
      type: 'append-response',
      term: state.term,
      round,
      success: false,
      rejectedIndex: previousIndex,
      hintIndex: matchHint(state, previousIndex),
    });
    return;
  }
  storeEntries(state, request.entries);
  const matchIndex = previousIndex + request.entries.length;
  advanceCommitIndex(scope, Math.min(request.commitIndex, matchIndex));
  sendPersisted(scope, from.nodeId, {
    type: 'append-response',
    term: state.term,
    round,
    success: true,
    matchIndex,
  });
}

/** Entries up to the log's base are committed, so they match any leader's log. */
function matchesLog(state: ConsensusState, index: number, term: number): boolean {
  return index <= state.log.base.index || state.log.termAt(index) === term;
}

/** Highest index that may match; skips all entries of the conflicting term at once. */
function matchHint(state: ConsensusState, rejectedIndex: number): number {
  const { log, commitIndex } = state;
  if (rejectedIndex > log.last.index) {
    return log.last.index;
  }
  return Math.max(commitIndex, log.firstIndexOfTermAt(rejectedIndex) - 1);
}

function storeEntries(state: ConsensusState, entries: readonly LogEntry[]): void {
  const { log } = state;
  const firstNewPosition = entries.findIndex(
    ({ index, term }) => index > log.base.index && log.termAt(index) !== term,
  );
  const newEntries = firstNewPosition < 0 ? [] : entries.slice(firstNewPosition);
  const first = newEntries[0];
  if (first === undefined) {
    return;
  }
  if (first.index <= state.commitIndex) {
    throw new Error(`Entry ${first.index} from the leader conflicts with a committed entry.`);
  }
  truncateLog(state, first.index);
  appendEntries(state, newEntries);
  state.role = followerOrLearnerRole(state);
}
