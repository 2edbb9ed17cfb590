/**
 * @file The consensus step of one member: Raft with pre-vote, check-quorum, read index, learners, single-member
 * membership changes, leadership transfer and snapshots.
 */
import { match } from 'ts-pattern';
import type { StepContext } from '../common/step.js';
import { handleAppendResponse } from './acknowledgements.js';
import { leaderTick } from './check-quorum.js';
import { commitReplicatedEntries } from './commit-index.js';
import type { ConsensusEffect, ConsensusEvent, StepScope } from './consensus-events.js';
import { followerOrLearnerRole, type ConsensusState } from './consensus-state.js';
import {
  countOwnVote,
  electionTick,
  handlePreVoteRequest,
  handlePreVoteResponse,
  handleVoteRequest,
  handleVoteResponse,
  startElection,
} from './election.js';
import { followLeader, handleAppendRequest } from './follower.js';
import type { Membership } from './membership.js';
import type { AppendRequest, ConsensusMessage, Sender, SnapshotChunk } from './messages.js';
import { finishWrite, flushWrites, queueRecord } from './persistence.js';
import { handleChangeMembership, handlePropose } from './proposals.js';
import { handleRead } from './read-index.js';
import { appendEntries, becomeFollower, sendNow, sendPersisted } from './roles.js';
import {
  handleSnapshotChunk,
  handleSnapshotChunkResponse,
  handleSnapshotTaken,
} from './snapshot-install.js';
import { startLeadershipTransfer } from './leadership-transfer.js';

/** Term of the first membership entry of a cluster; every elected leader has a later term. */
const BOOTSTRAP_TERM = 1;

/**
 * Handles one event and updates `state` in place.
 * @returns the effects to carry out, in order
 */
export function consensusStep(
  state: ConsensusState,
  event: ConsensusEvent,
  context: StepContext,
): ConsensusEffect[] {
  const scope: StepScope = { state, context, effects: [] };
  match(event)
    .with({ type: 'consensus-message' }, ({ from, message }) => handleMessage(scope, from, message))
    .with({ type: 'propose' }, ({ proposalId, data }) => handlePropose(scope, proposalId, data))
    .with({ type: 'read' }, ({ readId }) => handleRead(scope, readId))
    .with({ type: 'change-membership' }, ({ proposalId, change }) =>
      handleChangeMembership(scope, proposalId, change),
    )
    .with({ type: 'bootstrap' }, ({ clusterId, membership }) =>
      handleBootstrap(scope, clusterId, membership),
    )
    .with({ type: 'join-cluster' }, ({ clusterId }) => handleJoinCluster(state, clusterId))
    .with({ type: 'transfer-leadership' }, () => startLeadershipTransfer(scope))
    .with({ type: 'snapshot-taken' }, ({ index, data }) => handleSnapshotTaken(state, index, data))
    .with({ type: 'persisted' }, ({ writeId }) => handlePersisted(scope, writeId))
    .with({ type: 'persist-failed' }, () => handlePersistFailed(scope))
    .with({ type: 'tick' }, () => handleTick(scope))
    .exhaustive();
  flushWrites(scope);
  return scope.effects;
}

function handleTick(scope: StepScope): void {
  if (!scope.state.storageFailed) {
    leaderTick(scope);
    electionTick(scope);
  }
}

function handleMessage(scope: StepScope, from: Sender, message: ConsensusMessage): void {
  if (scope.state.storageFailed) {
    return;
  }
  match(message)
    .with({ type: 'pre-vote-request' }, (request) => handlePreVoteRequest(scope, from, request))
    .with({ type: 'vote-request' }, (request) => handleVoteRequest(scope, from, request))
    .with({ type: 'append-request' }, { type: 'snapshot-chunk' }, (request) =>
      handleLeaderMessage(scope, from, request),
    )
    .with({ type: 'timeout-now' }, ({ term }) => {
      if (term === scope.state.term && scope.state.role.name === 'follower') {
        startElection(scope, true);
      }
    })
    .with({ type: 'pre-vote-response', granted: true }, (response) =>
      handlePreVoteResponse(scope, from, response),
    )
    .otherwise((response) => {
      if (response.term > scope.state.term) {
        becomeFollower(scope, response.term, undefined);
      }
      handleResponse(scope, from, response);
    });
}

function handleLeaderMessage(
  scope: StepScope,
  from: Sender,
  request: AppendRequest | SnapshotChunk,
): void {
  const { state } = scope;
  if (request.term < state.term) {
    rejectStaleLeader(scope, from);
    return;
  }
  followLeader(scope, from, request.term);
  if (request.type === 'append-request') {
    handleAppendRequest(scope, from, request);
  } else {
    handleSnapshotChunk(scope, from, request);
  }
}

/** Reports the current term to a leader of an earlier term, which then steps down. */
function rejectStaleLeader(scope: StepScope, from: Sender): void {
  sendPersisted(scope, from.nodeId, {
    type: 'append-response',
    term: scope.state.term,
    round: 0,
    success: false,
    rejectedIndex: 0,
    hintIndex: 0,
  });
}

function handleResponse(scope: StepScope, from: Sender, response: ConsensusMessage): void {
  match(response)
    .with({ type: 'vote-response' }, (answer) => handleVoteResponse(scope, from, answer))
    .with({ type: 'append-response' }, (answer) => handleAppendResponse(scope, from, answer))
    .with({ type: 'snapshot-chunk-response' }, (answer) =>
      handleSnapshotChunkResponse(scope, from, answer),
    )
    .otherwise(() => undefined);
}

function handleBootstrap(scope: StepScope, clusterId: string, membership: Membership): void {
  const { state } = scope;
  if (state.clusterId !== undefined || state.log.last.index > 0) {
    return;
  }
  state.clusterId = clusterId;
  state.term = BOOTSTRAP_TERM;
  queueRecord(state, { type: 'cluster', clusterId });
  queueRecord(state, { type: 'vote', term: state.term, votedFor: undefined });
  appendEntries(state, [
    { index: 1, term: BOOTSTRAP_TERM, content: { type: 'membership', membership } },
  ]);
  state.role = followerOrLearnerRole(state);
}

function handleJoinCluster(state: ConsensusState, clusterId: string): void {
  if (state.clusterId === undefined) {
    state.clusterId = clusterId;
    queueRecord(state, { type: 'cluster', clusterId });
  }
}

function handlePersisted(scope: StepScope, writeId: number): void {
  for (const action of finishWrite(scope.state, writeId)) {
    match(action)
      .with({ type: 'send' }, ({ to, message }) => sendNow(scope, to, message))
      .with({ type: 'count-own-vote' }, ({ term }) => countOwnVote(scope, term))
      .exhaustive();
  }
  commitReplicatedEntries(scope);
}

/** The content of the disk is unknown after a failed write, so the member stays inactive until it is restarted. */
function handlePersistFailed(scope: StepScope): void {
  const { state } = scope;
  state.storageFailed = true;
  state.persistence.inFlight = undefined;
  state.persistence.deferred = [];
  state.persistence.records = [];
  becomeFollower(scope, state.term, undefined, 'storage-failed');
}
