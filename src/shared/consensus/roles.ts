/**
 * @file Helpers shared by all roles: stepping down, the election deadline, appending entries, advancing the commit index
 * and sending messages.
 */
import type { StepScope } from './consensus-events.js';
import type { RefusalKind } from './consensus-events.js';
import {
  currentMembership,
  followerOrLearnerRole,
  type ConsensusState,
  type DeferredAction,
  type Progress,
} from './consensus-state.js';
import type { LogEntry, EntryContent } from './log.js';
import { findMember, type NodeId } from './membership.js';
import type { ConsensusMessage } from './messages.js';
import { deferUntilPersisted, queueRecord, queueVote } from './persistence.js';

/**
 * Sets the election deadline to a random time, one to two election timeouts from now.
 */
export function resetElectionDeadline({ state, context }: StepScope): void {
  const { electionTimeoutMs, firstElectionTimeoutMs = electionTimeoutMs } = state.options;
  const isFirst = state.leaderContactAtMs === Number.NEGATIVE_INFINITY;
  const timeoutMs = isFirst ? firstElectionTimeoutMs : electionTimeoutMs;
  state.electionDeadlineMs = context.nowMs + timeoutMs + context.random.nextFloat() * timeoutMs;
}

/**
 * Becomes a follower or learner in `term`, with or without a known leader. A leader refuses its pending reads.
 * @param refusalKind reason reported to waiting callers if this member was the leader
 */
export function becomeFollower(
  scope: StepScope,
  term: number,
  leaderId: NodeId | undefined,
  refusalKind: RefusalKind = 'not-leader',
): void {
  const { state, effects } = scope;
  const isRoleChange =
    state.role.name !== followerOrLearnerRole(state).name || state.leaderId !== leaderId;
  if (state.role.name === 'leader') {
    for (const { readId } of state.role.pendingReads) {
      effects.push({ type: 'read-refused', readId, kind: refusalKind });
    }
    effects.push({ type: 'leadership-lost', kind: refusalKind });
  }
  if (term > state.term) {
    state.term = term;
    state.votedFor = undefined;
    state.incomingSnapshot = undefined;
    queueVote(state);
  }
  state.role = followerOrLearnerRole(state);
  state.leaderId = leaderId;
  resetElectionDeadline(scope);
  if (isRoleChange) {
    effects.push({ type: 'role-changed' });
  }
}

/**
 * Appends an entry of the leader's current term and queues it for the disk; a membership takes effect immediately.
 */
export function appendOwnEntry(state: ConsensusState, content: EntryContent): LogEntry {
  const entry: LogEntry = { index: state.log.last.index + 1, term: state.term, content };
  appendEntries(state, [entry]);
  return entry;
}

/**
 * Appends consecutive entries to the log and queues them for the disk.
 */
export function appendEntries(state: ConsensusState, entries: readonly LogEntry[]): void {
  for (const entry of entries) {
    state.log.append(entry);
    if (entry.content.type === 'membership') {
      state.memberships.push({ index: entry.index, membership: entry.content.membership });
    }
  }
  queueRecord(state, { type: 'entries', entries });
}

/**
 * Raises the commit index to `index` and emits the newly committed entries.
 */
export function advanceCommitIndex(scope: StepScope, index: number): void {
  const { state, effects } = scope;
  if (index <= state.commitIndex) {
    return;
  }
  const entries = state.log.slice(state.commitIndex + 1, index);
  state.commitIndex = index;
  effects.push({ type: 'committed', entries });
}

/**
 * @returns the progress of a member whose log position is unknown
 */
export function initialProgress(state: ConsensusState, nowMs: number): Progress {
  return {
    mode: 'probe',
    matchIndex: 0,
    nextIndex: state.log.last.index + 1,
    inFlight: [],
    ackedRound: 0,
    receivedAtMs: nowMs,
    outgoingSnapshot: undefined,
  };
}

/**
 * Adds and removes progress entries to match the current membership.
 */
export function updateProgressMembers({ state, context }: StepScope): void {
  if (state.role.name !== 'leader') {
    return;
  }
  const { progress } = state.role;
  const membership = currentMembership(state);
  for (const nodeId of [...progress.keys()]) {
    if (findMember(membership, nodeId) === undefined) {
      progress.delete(nodeId);
    }
  }
  for (const { nodeId } of membership.members) {
    if (nodeId !== state.nodeId && !progress.has(nodeId)) {
      progress.set(nodeId, initialProgress(state, context.nowMs));
    }
  }
}

/**
 * Sends a message immediately; only for messages that do not depend on this member's disk.
 */
export function sendNow({ effects }: StepScope, to: NodeId, message: ConsensusMessage): void {
  effects.push({ type: 'consensus-send', to, message });
}

/**
 * Sends a message once everything queued so far is on disk.
 */
export function sendPersisted(scope: StepScope, to: NodeId, message: ConsensusMessage): void {
  const action: DeferredAction | undefined = deferUntilPersisted(scope.state, {
    type: 'send',
    to,
    message,
  });
  if (action !== undefined) {
    sendNow(scope, to, message);
  }
}
