/**
 * @file What the leader proposes of its own accord: planned changes that are due, steps of the key
 * rotation, and the release of addresses. Each entry may be proposed again without harm, so a leader
 * that is not sure whether one went through proposes it again.
 */
import { match } from 'ts-pattern';
import { releasableAddresses } from './address-fence.js';
import type { ClusterState } from './cluster-state.js';
import { SYSTEM_OPERATOR, type CommandEntry, type SystemCommand } from './commands.js';
import {
  defaultKeyRotationOptions,
  nextKeyStep,
  type KeyRotationOptions,
  type KeyStep,
} from './key-rotation.js';
import { duePlannedChanges } from './plan-commands.js';

/** What the leader knows when it looks for duties. */
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
 * @returns the entries to propose now; none where all waits
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
