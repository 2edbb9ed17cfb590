/**
 * @file Changes of role: how a member becomes follower, candidate or leader.
 */
import type { StepScope } from './consensus-events.js';
import type { RefusalKind } from './consensus-events.js';
import {
  currentMembership,
  restingRole,
  type ConsensusState,
  type DeferredAction,
  type Progress,
} from './consensus-state.js';
import type { LogEntry, EntryContent } from './log.js';
import { findMember, type NodeId } from './membership.js';
import type { ConsensusMessage } from './messages.js';
import { deferUntilPersisted, queueRecord, queueVote } from './persistence.js';

/**
 * Chooses the time of the next campaign: one to two election timeouts from now.
 */
export function resetElectionDeadline({ state, context }: StepScope): void {
  const { electionTimeoutMs, firstElectionTimeoutMs = electionTimeoutMs } = state.options;
  const isFirst = state.leaderContactAtMs === Number.NEGATIVE_INFINITY;
  const timeoutMs = isFirst ? firstElectionTimeoutMs : electionTimeoutMs;
  state.electionDeadlineMs = context.nowMs + timeoutMs + context.random.nextFloat() * timeoutMs;
}

/**
 * Follows `term`, with or without a known leader. A leader that steps down gives up what waits.
 * @param lostBecause why what waits is refused, where this member led
 */
export function becomeFollower(
  scope: StepScope,
  term: number,
  leaderId: NodeId | undefined,
  lostBecause: RefusalKind = 'not-leader',
): void {
  const { state, effects } = scope;
  const changes = state.role.name !== restingRole(state).name || state.leaderId !== leaderId;
  if (state.role.name === 'leader') {
    for (const { readId } of state.role.pendingReads) {
      effects.push({ type: 'read-refused', readId, kind: lostBecause });
    }
    effects.push({ type: 'leadership-lost', kind: lostBecause });
  }
  if (term > state.term) {
    state.term = term;
    state.votedFor = undefined;
    state.incomingSnapshot = undefined;
    queueVote(state);
  }
  state.role = restingRole(state);
  state.leaderId = leaderId;
  resetElectionDeadline(scope);
  if (changes) {
    effects.push({ type: 'role-changed' });
  }
}

/**
 * Appends an entry of this leader's term; it is written, and its membership takes effect at once.
 */
export function appendOwnEntry(state: ConsensusState, content: EntryContent): LogEntry {
  const entry: LogEntry = { index: state.log.last.index + 1, term: state.term, content };
  appendEntries(state, [entry]);
  return entry;
}

/**
 * Appends entries that follow on the log.
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
 * Hands entries up to `index` to the state machine.
 */
export function advanceCommit(scope: StepScope, index: number): void {
  const { state, effects } = scope;
  if (index <= state.commitIndex) {
    return;
  }
  const entries = state.log.slice(state.commitIndex + 1, index);
  state.commitIndex = index;
  effects.push({ type: 'committed', entries });
}

/**
 * @returns what a new leader knows of a member: nothing
 */
export function freshProgress(state: ConsensusState, nowMs: number): Progress {
  return {
    mode: 'probe',
    matchIndex: 0,
    nextIndex: state.log.last.index + 1,
    inFlight: [],
    ackedRound: 0,
    receivedAtMs: nowMs,
    sending: undefined,
  };
}

/**
 * Keeps one progress for each other member, after a change of the membership.
 */
export function refreshProgress({ state, context }: StepScope): void {
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
      progress.set(nodeId, freshProgress(state, context.nowMs));
    }
  }
}

/**
 * Sends a message at once; for those that promise nothing about this member's disk.
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
