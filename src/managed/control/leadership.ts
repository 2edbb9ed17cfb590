/**
 * @file Periodic work of the leader: confirms its leadership with a quorum, and proposes the initial commands of a new
 * cluster and recurring system commands. Before an entry of its term is committed, a leader proposes nothing, since it
 * may not have applied all entries that earlier leaders committed.
 */
import type { StepContext } from '../../shared/common/step.js';
import { leaseAuthorityTick } from '../dissemination/lease-authority.js';
import { disseminationStatus } from '../dissemination/publisher.js';
import { propose, runConsensus } from './consensus-driver.js';
import type { ControlEffect } from './control-events.js';
import { leaderLinkAddress, type ControlState } from './control-state.js';
import { bootstrapCommands } from './bootstrap-commands.js';
import { leaderCommands } from './leader-commands.js';

/** Time and randomness that a tick event provides. */
export interface TickInput {
  /** Unix time in milliseconds. */
  readonly wallTimeMs: number;
  /** 16 cryptographically random bytes, for a token key. */
  readonly freshSecret: Uint8Array;
}

/**
 * Starts a quorum round that confirms the leadership, if one is due. Leases are granted on this basis.
 */
export function confirmLeadership(state: ControlState, context: StepContext): ControlEffect[] {
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

/**
 * Proposes the system commands that are due, unless earlier ones are pending.
 */
export function proposeLeaderCommands(
  state: ControlState,
  tickInput: TickInput,
  context: StepContext,
): ControlEffect[] {
  const { role, commitIndex } = state.consensus;
  const hasPendingCommands = [...state.pendingProposals.values()].some(
    ({ requestId }) => requestId === undefined,
  );
  if (role.name !== 'leader' || commitIndex < role.termStartIndex || hasPendingCommands) {
    return [];
  }
  const { wallTimeMs: nowMs, freshSecret } = tickInput;
  const initial = bootstrapCommands(state.cluster, {
    operators: state.firstOperators,
    freshSecret,
    nowMs,
  });
  const recurring = leaderCommands(state.cluster, {
    nowMs,
    freshSecret,
    ...disseminationStatus(state.publisher, state.leaseAuthority, context.nowMs),
  });
  return [...initial, ...recurring].flatMap((entry) => propose(state, entry, context));
}
