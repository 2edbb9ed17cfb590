/**
 * @file Leader election: pre-vote, campaign and voting. Pre-votes change no state at the other members, so a returning
 * machine does not depose a leader; a vote is sent only once it is on disk.
 */
import type { StepScope } from './consensus-events.js';
import { currentMembership, isVoter, type ConsensusState } from './consensus-state.js';
import { findMember, quorumSize, votersOf, type NodeId } from './membership.js';
import type {
  PreVoteRequest,
  PreVoteResponse,
  Sender,
  VoteRequest,
  VoteResponse,
} from './messages.js';
import { deferUntilPersisted, queueVote } from './persistence.js';
import { replicateToAll } from './replication.js';
import {
  appendOwnEntry,
  becomeFollower,
  initialProgress,
  resetElectionDeadline,
  sendPersisted,
} from './roles.js';

/**
 * Starts a pre-vote when the election deadline has passed; immediately if this is the only voter.
 */
export function electionTick(scope: StepScope): void {
  const { state, context } = scope;
  if (state.role.name === 'leader' || !isVoter(state)) {
    return;
  }
  const isOnlyVoter = votersOf(currentMembership(state)).length === 1;
  if (state.electionDeadlineMs === undefined) {
    resetElectionDeadline(scope);
  }
  const awaitsOwnVote = isOnlyVoter && state.role.name === 'candidate';
  if (!awaitsOwnVote && (isOnlyVoter || context.nowMs >= (state.electionDeadlineMs ?? 0))) {
    startPreVote(scope);
  }
}

function startPreVote(scope: StepScope): void {
  const { state } = scope;
  resetElectionDeadline(scope);
  state.role = { name: 'pre-candidate', granted: new Set([state.nodeId]) };
  state.leaderId = undefined;
  scope.effects.push({ type: 'role-changed' });
  if (hasQuorum(state, state.role.granted)) {
    startElection(scope, false);
    return;
  }
  const { index: lastIndex, term: lastTerm } = state.log.last;
  for (const nodeId of otherVoters(state)) {
    // Waits for the disk: the first message of a new cluster makes its receiver join that cluster permanently.
    sendPersisted(scope, nodeId, {
      type: 'pre-vote-request',
      term: state.term + 1,
      lastIndex,
      lastTerm,
    });
  }
}

/**
 * Starts a campaign in a new term. Counts this member's vote and sends vote requests once the vote is on disk.
 * @param isTransfer true if the leader requested the election
 */
export function startElection(scope: StepScope, isTransfer: boolean): void {
  const { state } = scope;
  resetElectionDeadline(scope);
  state.term += 1;
  state.votedFor = state.storageId;
  state.role = { name: 'candidate', granted: new Set() };
  state.leaderId = undefined;
  queueVote(state);
  deferUntilPersisted(state, { type: 'count-own-vote', term: state.term });
  const { index: lastIndex, term: lastTerm } = state.log.last;
  for (const nodeId of otherVoters(state)) {
    sendPersisted(scope, nodeId, {
      type: 'vote-request',
      term: state.term,
      lastIndex,
      lastTerm,
      isTransfer,
    });
  }
  scope.effects.push({ type: 'role-changed' });
}

/**
 * Counts the candidate's vote for itself once it is on disk; ignored if the term has changed.
 */
export function countOwnVote(scope: StepScope, term: number): void {
  if (term === scope.state.term) {
    countVote(scope, scope.state.nodeId);
  }
}

/**
 * Answers whether a vote would be granted in the requested term, without changing state.
 */
export function handlePreVoteRequest(
  scope: StepScope,
  from: Sender,
  request: PreVoteRequest,
): void {
  const { state } = scope;
  const granted =
    request.term > state.term &&
    !hasLeaderContact(scope) &&
    isUpToDate(state, request.lastIndex, request.lastTerm);
  const term = granted ? request.term : state.term;
  sendPersisted(scope, from.nodeId, { type: 'pre-vote-response', term, granted });
}

/**
 * Counts a granted pre-vote and starts the election when a quorum has granted one.
 */
export function handlePreVoteResponse(
  scope: StepScope,
  from: Sender,
  response: PreVoteResponse,
): void {
  const { state } = scope;
  const isCurrent = response.granted && response.term === state.term + 1;
  if (state.role.name !== 'pre-candidate' || !isCurrent || !isFromVoter(state, from)) {
    return;
  }
  state.role.granted.add(from.nodeId);
  if (hasQuorum(state, state.role.granted)) {
    startElection(scope, false);
  }
}

/**
 * Votes at most once per term, for a candidate whose log is up to date. Refuses while a leader is in contact, unless the
 * leader requested the election.
 */
export function handleVoteRequest(scope: StepScope, from: Sender, request: VoteRequest): void {
  const { state } = scope;
  const isRefused = request.term < state.term || (!request.isTransfer && hasLeaderContact(scope));
  if (!isRefused && request.term > state.term) {
    becomeFollower(scope, request.term, undefined);
  }
  const granted =
    !isRefused &&
    (state.votedFor === undefined || state.votedFor === from.storageId) &&
    isUpToDate(state, request.lastIndex, request.lastTerm);
  if (granted) {
    state.votedFor = from.storageId;
    queueVote(state);
    resetElectionDeadline(scope);
  }
  sendPersisted(scope, from.nodeId, { type: 'vote-response', term: state.term, granted });
}

/**
 * Counts a granted vote and becomes leader with a quorum.
 */
export function handleVoteResponse(scope: StepScope, from: Sender, response: VoteResponse): void {
  const { state } = scope;
  if (response.granted && response.term === state.term && isFromVoter(state, from)) {
    countVote(scope, from.nodeId);
  }
}

function countVote(scope: StepScope, nodeId: NodeId): void {
  const { state } = scope;
  if (state.role.name !== 'candidate') {
    return;
  }
  state.role.granted.add(nodeId);
  if (hasQuorum(state, state.role.granted)) {
    becomeLeader(scope);
  }
}

function becomeLeader(scope: StepScope): void {
  const { state, context } = scope;
  const { members } = currentMembership(state);
  const others = members.filter(({ nodeId }) => nodeId !== state.nodeId);
  state.role = {
    name: 'leader',
    progress: new Map(others.map(({ nodeId }) => [nodeId, initialProgress(state, context.nowMs)])),
    termStartIndex: state.log.last.index + 1,
    round: 0,
    pendingReads: [],
    nextHeartbeatAtMs: context.nowMs + state.options.heartbeatIntervalMs,
    leadershipTransfer: undefined,
  };
  state.leaderId = state.nodeId;
  appendOwnEntry(state, { type: 'no-op' });
  replicateToAll(scope, { evenIfEmpty: true });
  scope.effects.push({ type: 'role-changed' });
}

function hasLeaderContact({ state, context }: StepScope): boolean {
  if (state.role.name === 'leader') {
    return true;
  }
  const sinceContactMs = context.nowMs - state.leaderContactAtMs;
  return state.leaderId !== undefined && sinceContactMs < state.options.electionTimeoutMs;
}

function isUpToDate(state: ConsensusState, lastIndex: number, lastTerm: number): boolean {
  const own = state.log.last;
  return lastTerm > own.term || (lastTerm === own.term && lastIndex >= own.index);
}

function hasQuorum(state: ConsensusState, granted: ReadonlySet<NodeId>): boolean {
  const membership = currentMembership(state);
  const count = votersOf(membership).filter(({ nodeId }) => granted.has(nodeId)).length;
  return count >= quorumSize(membership);
}

function otherVoters(state: ConsensusState): NodeId[] {
  return votersOf(currentMembership(state))
    .map(({ nodeId }) => nodeId)
    .filter((nodeId) => nodeId !== state.nodeId);
}

function isFromVoter(state: ConsensusState, from: Sender): boolean {
  const member = findMember(currentMembership(state), from.nodeId);
  return member?.role === 'voter' && member.storageId === from.storageId;
}
