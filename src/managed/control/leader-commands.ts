/**
 * @file System commands that the leader proposes: due planned changes, key rotation steps, and the release of addresses
 * whose removal is fenced. Proposing a command twice is safe, so a new leader may repeat one whose outcome is unknown.
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

/** Inputs besides the replicated state. */
interface LeaderCommandContext {
  /** Unix time in milliseconds on the leader's clock. */
  readonly nowMs: number;
  /** Log index that is in force on every reporting balancer. */
  readonly inForceIndex: number;
  /** Log index that is in force on every balancer with an unexpired lease. */
  readonly fencedIndex: number;
  /** 16 cryptographically random bytes, used if a token key is added. */
  readonly freshSecret: Uint8Array;
  readonly keyRotation?: KeyRotationOptions;
}

/**
 * @returns the entries to propose now
 */
export function leaderCommands(state: ClusterState, context: LeaderCommandContext): CommandEntry[] {
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
