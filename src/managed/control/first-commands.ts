/**
 * @file What the leader of a new cluster proposes first: its operators and a token key. Decided from the
 * replicated state alone, so that a later leader proposes what an earlier one did not get through. The
 * replicated step refuses a second current key, so two leaders never make two.
 */
import type { ClusterState, Operator } from './cluster-state.js';
import { SYSTEM_OPERATOR, type CommandEntry, type SystemCommand } from './commands.js';

const FIRST_KEY_ID = 1;

/** An operator as the settings name one. */
export type FirstOperator = Pick<Operator, 'name' | 'tokenHash' | 'addressRanges'>;

/** What a new cluster begins with. */
interface FirstCommandContext {
  /** From the settings. */
  readonly operators: readonly FirstOperator[];
  /** 16 random bytes from a cryptographic source. */
  readonly freshSecret: Uint8Array;
  /** Unix time in milliseconds on the leader's clock. */
  readonly nowMs: number;
}

/**
 * @param state with every entry of earlier terms applied
 * @returns the entries to propose; none in a cluster that has its operators and a key
 */
export function firstCommands(state: ClusterState, context: FirstCommandContext): CommandEntry[] {
  const { operators, freshSecret, nowMs } = context;
  const entries: CommandEntry[] = [];
  if (state.operators.size === 0 && operators.length > 0) {
    entries.push(
      entryOf('bootstrap-operators', nowMs, {
        type: 'set-operators',
        operators: [...operators],
      }),
    );
  }
  if (state.routing.keys.size === 0) {
    entries.push(
      entryOf('bootstrap-token-key', nowMs, {
        type: 'set-token-key',
        id: FIRST_KEY_ID,
        secret: freshSecret,
        state: 'current',
      }),
    );
  }
  return entries;
}

function entryOf(commandId: string, atMs: number, command: SystemCommand): CommandEntry {
  return { commandId, operator: SYSTEM_OPERATOR, command, atMs };
}
