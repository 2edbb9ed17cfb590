/**
 * @file What a control machine does while it leads, at each tick: it lets a quorum confirm its leadership
 * (`dissemination/lease-authority.ts`), and proposes the first commands of a new cluster (`bootstrap-commands.ts`) and
 * its duties (`leader-duties.ts`). It proposes nothing before an entry of its own term is committed, since it doesn't
 * know until then all that was committed earlier, and nothing while an earlier round is still pending.
 */
import type { StepContext } from '../../shared/common/step.js';
import { leaseAuthorityTick } from '../dissemination/lease-authority.js';
import { disseminationStatus } from '../dissemination/publisher.js';
import { propose, runConsensus } from './consensus-driver.js';
import type { ControlEffect } from './control-events.js';
import { leaderLinkAddress, type ControlState } from './control-state.js';
import { bootstrapCommands } from './bootstrap-commands.js';
import { leaderDuties } from './leader-duties.js';

/** What a tick brings from outside. */
export interface ClockReading {
  /** Unix time in milliseconds. */
  readonly wallTimeMs: number;
  /** 16 random bytes from a cryptographic source, for a token key. */
  readonly freshSecret: Uint8Array;
}

/**
 * Lets a quorum confirm at intervals that this machine leads; leases are granted from that.
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
 * Proposes the leader's own commands, one round of them at a time.
 */
export function proposeDuties(
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
  const first = bootstrapCommands(state.cluster, {
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
