/**
 * @file Runs the consensus step of a control machine and performs its effects: committed entries are applied and published,
 * requests get their outcome, snapshots are made. Owns `pendingProposals`, the requests that wait for an entry.
 *
 * When is a request given up? Its proposal is refused at once where this machine doesn't lead, and with the kind of the
 * loss as soon as leadership is lost; it never waits on a machine that can't commit it.
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
import { sendToPeer } from './peer-gate.js';

/** Proposal ID of the leader's own commands, for which nobody waits. */
const OWN_PROPOSAL = 0;

/**
 * Proposes an entry for the log.
 * @param requestId whom to send the outcome; the leader's own commands have none
 */
export function propose(
  state: ControlState,
  entry: CommandEntry,
  context: StepContext,
  requestId: RequestId = OWN_PROPOSAL,
): ControlEffect[] {
  const data = encodeCommandEntry({ ...entry, atMs: entry.atMs ?? entryTimeMs(state) });
  return runConsensus(state, { type: 'propose', proposalId: requestId, data }, context);
}

/** The leader's time of day, but never earlier than an entry that was applied before. */
function entryTimeMs(state: ControlState): number | undefined {
  return state.wallTimeMs === undefined
    ? undefined
    : Math.max(state.wallTimeMs, state.cluster.timeMs);
}

/**
 * Runs the consensus step and performs its effects on the state here.
 * @returns the effects that are left for the daemon, in order
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
    .with({ type: 'persist' }, { type: 'persist-snapshot' }, { type: 'role-changed' }, (same) => [
      same,
    ])
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
      const requestId = proposalId === OWN_PROPOSAL ? undefined : proposalId;
      state.pendingProposals.set(index, { term, requestId });
      return [];
    })
    .with({ type: 'proposal-refused' }, ({ proposalId, kind, reason }) =>
      replyTo(proposalId, refusedOutcome(state, kind, reason)),
    )
    .with({ type: 'read-ready' }, ({ readId }): ControlEffect[] =>
      applyConfirmation(state.leaseAuthority, readId)
        ? []
        : [{ type: 'query-reply', requestId: readId }],
    )
    .with({ type: 'read-refused' }, ({ readId, kind }) =>
      readId < 0 ? [] : refuseQuery(state, readId, kind),
    )
    .with({ type: 'leadership-lost' }, ({ kind }) => refusePending(state, kind))
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
  return replyTo(pending.requestId, outcome);
}

/** What was proposed may still be committed; the same command ID sent again gives the outcome. */
function refusePending(state: ControlState, kind: RefusalKind): ControlEffect[] {
  const waiting = [...state.pendingProposals.values()];
  state.pendingProposals.clear();
  const outcome = refusedOutcome(state, kind, refusalText(kind));
  return waiting.flatMap(({ requestId }) =>
    requestId === undefined ? [] : replyTo(requestId, outcome),
  );
}

function refuseQuery(state: ControlState, requestId: RequestId, kind: RefusalKind) {
  const leader = leaderOperatorAddress(state);
  const error: AmberliftError = amberliftError(kind, refusalText(kind));
  const reply: ControlEffect = {
    type: 'query-reply',
    requestId,
    error,
    ...(leader !== undefined && { leader }),
  };
  return [reply];
}

/**
 * @returns a refusal, with the leader's operator address where another machine is known to lead
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
 * @returns the effect that sends the outcome of a request; none for the leader's own commands
 */
export function replyTo(requestId: RequestId, outcome: CommandOutcome): ControlEffect[] {
  return requestId === OWN_PROPOSAL ? [] : [{ type: 'operator-reply', requestId, outcome }];
}

/**
 * @returns the text of a refusal of the consensus, for operators
 */
export function refusalText(kind: RefusalKind): string {
  return match(kind)
    .with('not-leader', () => 'This control machine does not lead.')
    .with('no-quorum', () => 'This control machine reaches no quorum.')
    .with('storage-failed', () => 'This control machine can not write its disk.')
    .with('conflict', 'not-found', () => 'The change does not apply.')
    .exhaustive();
}

function snapshotIfDue(state: ControlState, context: StepContext): ControlEffect[] {
  const { consensus, cluster } = state;
  const since = cluster.index - (consensus.snapshot?.index ?? 0);
  if (since < state.snapshotIntervalEntries || cluster.index > consensus.commitIndex) {
    return [];
  }
  const data = encodeClusterState(cluster);
  return runConsensus(state, { type: 'snapshot-taken', index: cluster.index, data }, context);
}
