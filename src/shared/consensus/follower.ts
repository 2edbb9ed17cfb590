/**
 * @file The receiving side of replication: stores entries that follow on a matching position, and
 * acknowledges them once they are on disk. Entries that conflict with those of the leader are dropped; a committed
 * one never conflicts, and a leader that sends such a one is a fault that must not go on.
 */
import type { StepScope } from './consensus-events.js';
import { restingRole, type ConsensusState } from './consensus-state.js';
import type { LogEntry } from './log.js';
import type { AppendRequest, Sender } from './messages.js';
import { truncateLog } from './persistence.js';
import {
  advanceCommit,
  appendEntries,
  becomeFollower,
  resetElectionDeadline,
  sendPersisted,
} from './roles.js';

/**
 * Follows the sender of a message that only the leader of `term` sends.
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
 * Stores entries, or answers a heartbeat, of the leader of the current term.
 */
export function handleAppendRequest(scope: StepScope, from: Sender, request: AppendRequest): void {
  const { state } = scope;
  const { previousIndex, previousTerm, round } = request;
  if (!matches(state, previousIndex, previousTerm)) {
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
  advanceCommit(scope, Math.min(request.commitIndex, matchIndex));
  sendPersisted(scope, from.nodeId, {
    type: 'append-response',
    term: state.term,
    round,
    success: true,
    matchIndex,
  });
}

/** Everything up to the base of the log is committed and so matches any leader's log. */
function matches(state: ConsensusState, index: number, term: number): boolean {
  return index <= state.log.base.index || state.log.termAt(index) === term;
}

/** Where the terms differ, the whole run of the conflicting term is skipped. */
function matchHint(state: ConsensusState, rejectedIndex: number): number {
  const { log, commitIndex } = state;
  if (rejectedIndex > log.last.index) {
    return log.last.index;
  }
  return Math.max(commitIndex, log.firstIndexOfTermAt(rejectedIndex) - 1);
}

function storeEntries(state: ConsensusState, entries: readonly LogEntry[]): void {
  const { log } = state;
  const firstNew = entries.findIndex(
    ({ index, term }) => index > log.base.index && log.termAt(index) !== term,
  );
  const fresh = firstNew < 0 ? [] : entries.slice(firstNew);
  const first = fresh[0];
  if (first === undefined) {
    return;
  }
  if (first.index <= state.commitIndex) {
    throw new Error(`Entry ${first.index} conflicts with a committed one.`);
  }
  truncateLog(state, first.index);
  appendEntries(state, fresh);
  state.role = restingRole(state);
}
