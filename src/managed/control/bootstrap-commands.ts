/**
 * @file The first commands of a new cluster, which set its operators and a token key. They depend on the replicated
 * state, so that a new leader proposes those that its predecessor did not commit. Duplicates are harmless: a second
 * current key is refused.
 */
import type { ClusterState, Operator } from './cluster-state.js';
import { SYSTEM_OPERATOR, type CommandEntry, type SystemCommand } from './commands.js';

const FIRST_KEY_ID = 1;

/** An operator from the settings. */
export type BootstrapOperator = Pick<Operator, 'name' | 'tokenHash' | 'addressRanges'>;

/** Inputs of the bootstrap commands. */
interface BootstrapContext {
  /** From the settings. */
  readonly operators: readonly BootstrapOperator[];
  /** 16 random bytes from a cryptographic source. */
  readonly freshSecret: Uint8Array;
  /** Unix time in milliseconds on the leader's clock. */
  readonly nowMs: number;
}

/**
 * @param state the cluster state with all entries of earlier terms applied
 * @returns the entries to propose; empty if the cluster has operators and a key
 */
export function bootstrapCommands(state: ClusterState, context: BootstrapContext): CommandEntry[] {
  const { operators, freshSecret, nowMs } = context;
  const entries: CommandEntry[] = [];
  if (state.operators.size === 0 && operators.length > 0) {
    entries.push(
      systemEntry('bootstrap-operators', nowMs, {
        type: 'set-operators',
        operators: [...operators],
      }),
    );
  }
  if (state.routing.keys.size === 0) {
    entries.push(
      systemEntry('bootstrap-token-key', nowMs, {
        type: 'set-token-key',
        id: FIRST_KEY_ID,
        secret: freshSecret,
        state: 'current',
      }),
    );
  }
  return entries;
}

function systemEntry(commandId: string, atMs: number, command: SystemCommand): CommandEntry {
  return { commandId, operator: SYSTEM_OPERATOR, command, atMs };
}
