/**
 * @file The decision step of a control machine: commands of operators go through the consensus log, are
 * applied once they are committed, and are published to balancers. Questions are answered only after a
 * quorum has confirmed that this machine leads.
 */
import { match } from 'ts-pattern';
import type { StepContext } from '../../shared/common/step.js';
import { consensusStep } from '../../shared/consensus/consensus-step.js';
import type {
  ConsensusEffect,
  ConsensusEvent,
  RefusalKind,
} from '../../shared/consensus/consensus-events.js';
import type { MemberChange } from '../../shared/consensus/membership.js';
import { leaseAuthorityTick, applyConfirmation } from '../dissemination/lease-authority.js';
import {
  disseminationStatus,
  handleSubscriberGone,
  handleSubscriberMessage,
} from '../dissemination/publisher.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import {
  bootstrapEvent,
  isAnnouncementDue,
  machinesToAdd,
  applyAnnouncement,
} from './cluster-join.js';
import { encodeClusterState } from './cluster-snapshot.js';
import { encodeCommandEntry } from './command-codec.js';
import type { CommandEntry, CommandOutcome } from './commands.js';
import type { ControlEffect, ControlEvent, MemberCommand } from './control-events.js';
import { firstCommands } from './first-commands.js';
import {
  applyEntry,
  isLeader,
  leaderLinkAddress,
  leaderOperatorAddress,
  restoreState,
  type ControlState,
  type RequestId,
} from './control-state.js';
import { leaderDuties } from './leader-duties.js';
import { decideAtGate, peerSend, sendToPeer } from './peer-gate.js';
import type { PeerEnvelope } from './peer-messages.js';

export type { ControlEffect, ControlEvent } from './control-events.js';
export {
  createControlState,
  isLeader,
  type ControlOptions,
  type ControlState,
  type RequestId,
} from './control-state.js';

/** Proposal ID of the leader's own commands, for which nobody waits. */
const OWN_PROPOSAL = 0;

/** What a tick brings from outside: the time of day and randomness for secrets. */
interface ClockReading {
  readonly wallTimeMs: number;
  readonly freshSecret: Uint8Array;
}

/**
 * Takes one event.
 * @returns the effects, in order
 */
export function controlStep(
  state: ControlState,
  event: ControlEvent,
  context: StepContext,
): ControlEffect[] {
  return match(event)
    .with({ type: 'propose' }, ({ requestId, entry }) => propose(state, entry, context, requestId))
    .with({ type: 'query' }, ({ requestId }) =>
      runConsensus(state, { type: 'read', readId: requestId }, context),
    )
    .with({ type: 'change-members' }, ({ requestId, command }) =>
      changeMembers(state, requestId, command, context),
    )
    .with({ type: 'peer-message' }, ({ envelope }) => handleEnvelope(state, envelope, context))
    .with({ type: 'persisted' }, { type: 'persist-failed' }, (ended) =>
      runConsensus(state, ended, context),
    )
    .with({ type: 'link-message' }, ({ linkId, message }) =>
      handleSubscriberMessage(
        state.publisher,
        linkId,
        message,
        state.cluster.routing,
        context.nowMs,
      ),
    )
    .with({ type: 'link-closed' }, ({ linkId }) => {
      handleSubscriberGone(state.publisher, linkId);
      return [];
    })
    .with({ type: 'stop' }, () => runConsensus(state, { type: 'transfer-leadership' }, context))
    .with({ type: 'tick' }, ({ wallTimeMs, freshSecret }) =>
      tick(state, { wallTimeMs, freshSecret }, context),
    )
    .exhaustive();
}

function propose(
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

function changeMembers(
  state: ControlState,
  requestId: RequestId,
  command: MemberCommand,
  context: StepContext,
): ControlEffect[] {
  if (!isLeader(state)) {
    return replyTo(requestId, refusedOutcome(state, 'not-leader', refusalText('not-leader')));
  }
  const change = memberChange(state, command, context.nowMs);
  if (change === undefined) {
    const error = amberliftError('not-found', `No machine ${command.nodeId} asks to be added.`);
    return [{ type: 'operator-reply', requestId, outcome: { accepted: false, error } }];
  }
  const event: ConsensusEvent = { type: 'change-membership', proposalId: requestId, change };
  return runConsensus(state, event, context);
}

function memberChange(
  state: ControlState,
  command: MemberCommand,
  nowMs: number,
): MemberChange | undefined {
  const { type, nodeId } = command;
  if (type !== 'add-member') {
    return { type, nodeId };
  }
  const machine = machinesToAdd(state.join, state.consensus, nowMs).find(
    (candidate) => candidate.nodeId === nodeId,
  );
  if (machine === undefined) {
    return undefined;
  }
  const { storageId, linkAddress, operatorAddress } = machine;
  return { type, member: { nodeId, storageId, linkAddress, operatorAddress } };
}

function handleEnvelope(
  state: ControlState,
  envelope: PeerEnvelope,
  context: StepContext,
): ControlEffect[] {
  const { message, from, replyTo } = envelope;
  if (message.type === 'peer-refusal') {
    state.join.refusal = message.reason;
    return [];
  }
  if (message.type === 'announcement' && envelope.proof === state.proof) {
    applyAnnouncement(state.join, state.consensus, envelope, message, context.nowMs);
    return message.wantsAnswer ? [announce(state, replyTo, from, false)] : [];
  }
  const decision = decideAtGate(state, envelope);
  if (decision === 'ignore' || message.type === 'announcement') {
    return decision === 'ignore' || typeof decision === 'string'
      ? []
      : [peerSend(state, replyTo, from, decision)];
  }
  if (typeof decision === 'object') {
    return [peerSend(state, replyTo, from, decision)];
  }
  state.join.replyAddresses.set(from.nodeId, replyTo);
  const joining =
    decision === 'join-cluster' && envelope.clusterId !== undefined
      ? runConsensus(state, { type: 'join-cluster', clusterId: envelope.clusterId }, context)
      : [];
  return [
    ...joining,
    ...runConsensus(state, { type: 'consensus-message', from, message }, context),
  ];
}

function announce(
  state: ControlState,
  address: PeerEnvelope['replyTo'],
  to: PeerEnvelope['to'],
  wantsAnswer: boolean,
): ControlEffect {
  const { operatorAddress } = state.join;
  return peerSend(state, address, to, { type: 'announcement', operatorAddress, wantsAnswer });
}

function tick(state: ControlState, clock: ClockReading, context: StepContext): ControlEffect[] {
  const { join, consensus } = state;
  const effects: ControlEffect[] = [];
  state.wallTimeMs = clock.wallTimeMs;
  const bootstrap = bootstrapEvent(join, consensus, context.nowMs);
  if (bootstrap !== undefined) {
    effects.push(...runConsensus(state, bootstrap, context));
  }
  if (isAnnouncementDue(join, consensus, context.nowMs)) {
    const peers = join.peers.map(({ nodeId, linkAddress }) =>
      announce(state, linkAddress, { nodeId }, true),
    );
    effects.push(...peers);
  }
  effects.push(...runConsensus(state, { type: 'tick' }, context));
  effects.push(...confirmLeadership(state, context));
  effects.push(...performDuties(state, clock, context));
  return effects;
}

/** Lets a quorum confirm now and then that this machine leads; leases are granted from that. */
function confirmLeadership(state: ControlState, context: StepContext): ControlEffect[] {
  const { consensus, publisher } = state;
  const { role, term, commitIndex } = consensus;
  const isLeading = role.name === 'leader' && commitIndex >= role.termStartIndex;
  publisher.leader = leaderLinkAddress(state);
  const readId = leaseAuthorityTick(state.leaseAuthority, {
    isLeading,
    term,
    commitIndex,
    nowMs: context.nowMs,
  });
  return readId === undefined ? [] : runConsensus(state, { type: 'read', readId }, context);
}

/** The leader's own commands, one round of them at a time. */
function performDuties(
  state: ControlState,
  clock: ClockReading,
  context: StepContext,
): ControlEffect[] {
  const { role, commitIndex } = state.consensus;
  const isBusy = [...state.pendingProposals.values()].some(
    ({ requestId }) => requestId === undefined,
  );
  if (role.name !== 'leader' || commitIndex < role.termStartIndex || isBusy) {
    return [];
  }
  const { wallTimeMs: nowMs, freshSecret } = clock;
  const first = firstCommands(state.cluster, {
    operators: state.firstOperators,
    freshSecret,
    nowMs,
  });
  const duties = leaderDuties(state.cluster, {
    nowMs,
    freshSecret,
    ...disseminationStatus(state.publisher, state.leaseAuthority, context.nowMs),
  });
  return [...first, ...duties].flatMap((entry) => propose(state, entry, context));
}

/** Runs the consensus step and takes its effects, among them those that change the state here. */
function runConsensus(
  state: ControlState,
  event: ConsensusEvent,
  context: StepContext,
): ControlEffect[] {
  const effects = consensusStep(state.consensus, event, context);
  const taken = effects.flatMap((effect) => handleConsensusEffect(state, effect));
  return [...taken, ...snapshotIfDue(state, context)];
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

/** What was proposed may still be committed; the same command ID sent again tells. */
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

function refusedOutcome(state: ControlState, kind: RefusalKind, reason: string): CommandOutcome {
  const leader = leaderOperatorAddress(state);
  return {
    accepted: false,
    error: amberliftError(kind, reason),
    ...(leader !== undefined && { leader }),
  };
}

function replyTo(requestId: RequestId, outcome: CommandOutcome): ControlEffect[] {
  return requestId === OWN_PROPOSAL ? [] : [{ type: 'operator-reply', requestId, outcome }];
}

function refusalText(kind: RefusalKind): string {
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
