/**
 * @file Runs the consensus step (src/shared/consensus) of a control machine and carries out its effects: sends messages
 * to members, applies committed entries, replies to calls and takes snapshots.
 */
import { match } from 'ts-pattern';
import type { StepContext } from '../../shared/common/step.js';
import type { ConsensusEffect, ConsensusEvent } from '../../shared/consensus/consensus-events.js';
import { consensusStep } from '../../shared/consensus/consensus-step.js';
import { currentMembership } from '../../shared/consensus/consensus-state.js';
import { findMember, type NodeId } from '../../shared/consensus/membership.js';
import type { ConsensusMessage } from '../../shared/consensus/messages.js';
import { applyEntry, restoreSnapshot, type AppliedState } from './applied-entries.js';
import type { GroupEffect } from './group-events.js';
import type { PeerMessage } from './group-messages.js';
import type { GroupState } from './group-state.js';
import { finishCall, finishRead, refused, type ReplyState } from './calls/leader-replies.js';
import type { WithConsensus } from './leadership.js';
import { isSnapshotDue } from './snapshot-schedule.js';

/** State that consensus events read and change. */
export type ConsensusRunState = AppliedState & Pick<GroupState, 'announcements'>;

/** Proposal ID of the leader's own changes, which no call waits for. */
export const INTERNAL_PROPOSAL_ID = 0;

/**
 * Runs the consensus step and carries out the effects that change the state of this machine.
 * @returns the effects for the caller to carry out, in order
 */
export function runConsensus(
  state: ConsensusRunState,
  event: ConsensusEvent,
  context: StepContext,
): GroupEffect[] {
  const effects = consensusStep(state.consensus, event, context);
  const handled = effects.flatMap((effect) => handleConsensusEffect(state, effect, context.nowMs));
  return [...handled, ...takeSnapshotIfDue(state, context)];
}

function handleConsensusEffect(
  state: ConsensusRunState,
  consensusEffect: ConsensusEffect,
  nowMs: number,
): GroupEffect[] {
  return match(consensusEffect)
    .with({ type: 'persist' }, { type: 'persist-snapshot' }, (effect): GroupEffect[] => [effect])
    .with({ type: 'consensus-send' }, ({ to, message }) => sendConsensusMessage(state, to, message))
    .with({ type: 'committed' }, ({ entries }) =>
      entries.flatMap((entry) => applyEntry(state, entry, nowMs)),
    )
    .with({ type: 'restore-snapshot' }, ({ snapshot }) => restoreSnapshot(state, snapshot.data))
    .with({ type: 'proposal-appended' }, ({ proposalId, index, term }) => {
      if (proposalId !== INTERNAL_PROPOSAL_ID) {
        state.calls.recordAppended(index, term, proposalId);
      }
      return [];
    })
    .with({ type: 'proposal-refused' }, ({ proposalId, reason }) =>
      finishCall(state, proposalId, refused(reason)),
    )
    .with({ type: 'read-ready' }, ({ readId }) => finishRead(state, readId))
    .with({ type: 'read-refused' }, ({ readId, kind }) =>
      finishCall(state, readId, refused(`The read was refused: ${kind}.`)),
    )
    .with({ type: 'leadership-lost' }, ({ kind }) => abandonCalls(state, kind))
    .with({ type: 'role-changed' }, () => [roleDecision(state)])
    .exhaustive();
}

function sendConsensusMessage(
  { consensus, options, announcements }: ConsensusRunState,
  to: NodeId,
  message: ConsensusMessage,
): GroupEffect[] {
  const member = findMember(currentMembership(consensus), to);
  const address = member?.linkAddress ?? announcements.replyAddressOf(to);
  if (address === undefined || consensus.clusterId === undefined) {
    return [];
  }
  const peerMessage: PeerMessage = {
    type: 'consensus',
    clusterId: consensus.clusterId,
    from: { nodeId: consensus.nodeId, storageId: consensus.storageId },
    replyTo: options.linkAddress,
    toNodeId: to,
    message,
  };
  return [{ type: 'send-peer', to: address, message: peerMessage }];
}

/** Refuses all pending calls. Their proposals may still be committed; a client that retries learns the outcome. */
function abandonCalls(state: ReplyState, kind: string): GroupEffect[] {
  state.calls.forgetAppended();
  return state.calls
    .pendingIds()
    .flatMap((proposalId) =>
      finishCall(state, proposalId, refused(`Leadership was lost: ${kind}.`)),
    );
}

function roleDecision({ consensus }: WithConsensus): GroupEffect {
  const { role, term, leaderId, commitIndex } = consensus;
  const fields = { role: role.name, term, leader: leaderId, commit: commitIndex };
  return { type: 'decision', name: 'role', fields };
}

function takeSnapshotIfDue(state: ConsensusRunState, context: StepContext): GroupEffect[] {
  const { consensus, replicated } = state;
  const index = consensus.commitIndex;
  const entries = index - (consensus.snapshot?.index ?? 0);
  if (!isSnapshotDue(entries, replicated.config?.text.length ?? 0)) {
    return [];
  }
  const data = replicated.encode();
  return runConsensus(state, { type: 'snapshot-taken', index, data }, context);
}
