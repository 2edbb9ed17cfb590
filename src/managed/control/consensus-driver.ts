/**
 * @file Runs the consensus step of a control machine and handles its effects: applies and publishes committed entries,
 * replies to requests and takes snapshots. Owns `pendingProposals`.
 *
 * Proposals fail immediately on a machine that is not the leader, and pending ones fail when leadership is lost.
 */
import { match } from 'ts-pattern';
import type { StepContext } from '../../shared/common/step.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type {
  ConsensusEffect,
  ConsensusEvent,
  RefusalKind,
} from '../../shared/consensus/consensus-events.js';
import { consensusStep } from '../../shared/consensus/consensus-step.js';
import { applyConfirmation } from '../dissemination/lease-authority.js';
import { encodeClusterState } from './cluster-snapshot.js';
import { encodeCommandEntry } from './command-codec.js';
import type { CommandEntry, CommandOutcome } from './commands.js';
import type { ControlEffect } from './control-events.js';
import {
  applyEntry,
  leaderOperatorAddress,
  restoreState,
  type ControlState,
  type RequestId,
} from './control-state.js';
import { sendToPeer } from './peer-admission.js';

/** Proposal ID of the leader's system commands, which need no reply. */
const INTERNAL_PROPOSAL_ID = 0;

/**
 * Proposes a command for the log, with the current time unless the entry has one.
 * @param requestId request to reply to; omitted for system commands
 */
export function propose(
  state: ControlState,
  entry: CommandEntry,
  context: StepContext,
  requestId: RequestId = INTERNAL_PROPOSAL_ID,
): ControlEffect[] {
  const data = encodeCommandEntry({ ...entry, atMs: entry.atMs ?? entryTimeMs(state) });
  return runConsensus(state, { type: 'propose', proposalId: requestId, data }, context);
}

/** Wall-clock time, but not earlier than that of the last applied entry. */
function entryTimeMs(state: ControlState): number | undefined {
  return state.wallTimeMs === undefined
    ? undefined
    : Math.max(state.wallTimeMs, state.cluster.timeMs);
}

/**
 * Runs the consensus step and applies its effects to the state.
 * @returns the remaining effects for the daemon, in order
 */
export function runConsensus(
  state: ControlState,
  event: ConsensusEvent,
  context: StepContext,
): ControlEffect[] {
  const effects = consensusStep(state.consensus, event, context);
  const remaining = effects.flatMap((effect) => handleConsensusEffect(state, effect));
  return [...remaining, ...snapshotIfDue(state, context)];
}

function handleConsensusEffect(state: ControlState, effect: ConsensusEffect): ControlEffect[] {
  return match(effect)
    .with(
      { type: 'persist' },
      { type: 'persist-snapshot' },
      { type: 'role-changed' },
      (daemonEffect) => [daemonEffect],
    )
    .with({ type: 'consensus-send' }, ({ to, message }) => sendToPeer(state, to, message))
    .with({ type: 'committed' }, ({ entries }) =>
      entries.flatMap((entry): ControlEffect[] => {
        const { outcome, sends } = applyEntry(state, entry);
        return [...sends, ...answerProposal(state, entry.index, entry.term, outcome)];
      }),
    )
    .with({ type: 'restore-snapshot' }, ({ snapshot }) => {
      restoreState(state, snapshot.data);
      return [];
    })
    .with({ type: 'proposal-appended' }, ({ proposalId, index, term }) => {
      const requestId = proposalId === INTERNAL_PROPOSAL_ID ? undefined : proposalId;
      state.pendingProposals.set(index, { term, requestId });
      return [];
    })
    .with({ type: 'proposal-refused' }, ({ proposalId, kind, reason }) =>
      operatorReply(proposalId, refusedOutcome(state, kind, reason)),
    )
    .with({ type: 'read-ready' }, ({ readId }): ControlEffect[] =>
      applyConfirmation(state.leaseAuthority, readId)
        ? []
        : [{ type: 'query-reply', requestId: readId }],
    )
    .with({ type: 'read-refused' }, ({ readId, kind }) =>
      readId < 0 ? [] : refuseQuery(state, readId, kind),
    )
    .with({ type: 'leadership-lost' }, ({ kind }) => refusePendingProposals(state, kind))
    .exhaustive();
}

function answerProposal(
  state: ControlState,
  index: number,
  term: number,
  outcome: CommandOutcome,
): ControlEffect[] {
  const pending = state.pendingProposals.get(index);
  state.pendingProposals.delete(index);
  if (pending?.requestId === undefined || pending.term !== term) {
    return [];
  }
  return operatorReply(pending.requestId, outcome);
}

/** A refused proposal may still be committed; clients retry with the same command ID to get its outcome. */
function refusePendingProposals(state: ControlState, kind: RefusalKind): ControlEffect[] {
  const proposals = [...state.pendingProposals.values()];
  state.pendingProposals.clear();
  const outcome = refusedOutcome(state, kind, refusalMessage(kind));
  return proposals.flatMap(({ requestId }) =>
    requestId === undefined ? [] : operatorReply(requestId, outcome),
  );
}

function refuseQuery(state: ControlState, requestId: RequestId, kind: RefusalKind) {
  const leader = leaderOperatorAddress(state);
  const error: AmberliftError = amberliftError(kind, refusalMessage(kind));
  const reply: ControlEffect = {
    type: 'query-reply',
    requestId,
    error,
    ...(leader !== undefined && { leader }),
  };
  return [reply];
}

/**
 * @returns a refusal, with the operator address of the leader if another machine is known to be the leader
 */
export function refusedOutcome(
  state: ControlState,
  kind: RefusalKind,
  reason: string,
): CommandOutcome {
  const leader = leaderOperatorAddress(state);
  return {
    accepted: false,
    error: amberliftError(kind, reason),
    ...(leader !== undefined && { leader }),
  };
}

/**
 * @returns the effect that sends the outcome of a request; none for system commands
 */
export function operatorReply(requestId: RequestId, outcome: CommandOutcome): ControlEffect[] {
  return requestId === INTERNAL_PROPOSAL_ID ? [] : [{ type: 'operator-reply', requestId, outcome }];
}

/**
 * @returns the error message shown to operators for a refusal by the consensus step
 */
export function refusalMessage(kind: RefusalKind): string {
  return match(kind)
    .with('not-leader', () => 'This machine is not the leader.')
    .with('no-quorum', () => 'This machine cannot reach a quorum.')
    .with('storage-failed', () => 'This machine cannot write its log.')
    .with('conflict', 'not-found', () => 'The change cannot be applied.')
    .exhaustive();
}

function snapshotIfDue(state: ControlState, context: StepContext): ControlEffect[] {
  const { consensus, cluster } = state;
  const entriesSinceSnapshot = cluster.index - (consensus.snapshot?.index ?? 0);
  if (
    entriesSinceSnapshot < state.snapshotIntervalEntries ||
    cluster.index > consensus.commitIndex
  ) {
    return [];
  }
  const data = encodeClusterState(cluster);
  return runConsensus(state, { type: 'snapshot-taken', index: cluster.index, data }, context);
}
