/**
 * @file What does the leader propose on its own? Planned changes that are due, the next step of the key rotation, and
 * the release of addresses whose removal is fenced. Each entry may be proposed again without harm, so a leader that
 * is not sure whether one was committed proposes it again.
 *
 * Inputs: the replicated state, Unix time in milliseconds on the leader's clock, and how far the configuration has
 * come (`dissemination/publisher.ts`).
 */
import { match } from 'ts-pattern';
import { releasableAddresses } from './address-quarantine.js';
import type { ClusterState } from './cluster-state.js';
import { SYSTEM_OPERATOR, type CommandEntry, type SystemCommand } from './commands.js';
import {
  defaultKeyRotationOptions,
  nextKeyStep,
  type KeyRotationOptions,
  type KeyStep,
} from './key-rotation.js';
import { duePlannedChanges } from './plan-commands.js';

/** What the leader's duties depend on, besides the replicated state. */
interface DutyContext {
  /** Unix time in milliseconds on the leader's clock. */
  readonly nowMs: number;
  /** Every balancer has this log index in force. */
  readonly inForceIndex: number;
  /** Every balancer has this log index in force, or is past its lease. */
  readonly fencedIndex: number;
  /** 16 random bytes from a cryptographic source, in case a key is added. */
  readonly freshSecret: Uint8Array;
  readonly keyRotation?: KeyRotationOptions;
}

/**
 * @returns the entries to propose now
 */
export function leaderDuties(state: ClusterState, context: DutyContext): CommandEntry[] {
  const commands: SystemCommand[] = duePlannedChanges(state, context.nowMs).map(
    ({ operator, planId }) => ({ type: 'run-planned-change', operator, planId }),
  );
  const { inForceIndex, fencedIndex, nowMs, keyRotation = defaultKeyRotationOptions } = context;
  const keyStep = nextKeyStep(state, nowMs, inForceIndex, keyRotation);
  if (keyStep !== undefined) {
    commands.push(keyCommand(keyStep, context.freshSecret));
  }
  if (releasableAddresses(state, fencedIndex).length > 0) {
    commands.push({ type: 'release-addresses', fencedIndex });
  }
  return commands.map((command) => ({
    commandId: `${command.type}-${state.index}`,
    operator: SYSTEM_OPERATOR,
    command,
    atMs: nowMs,
  }));
}

function keyCommand(step: KeyStep, secret: Uint8Array): SystemCommand {
  return match(step)
    .with({ type: 'add-next' }, ({ id }) => ({
      type: 'set-token-key' as const,
      id,
      secret,
      state: 'next' as const,
    }))
    .with({ type: 'promote' }, ({ id }) => ({ type: 'promote-token-key' as const, id }))
    .with({ type: 'remove' }, ({ id }) => ({ type: 'remove-token-key' as const, id }))
    .exhaustive();
}
