/**
 * @file Results of commands by command ID, bounded so that an old command can't apply twice.
 *
 * An ID that carries its time is refused as `command-expired` from the moment its record may have
 * been forgotten, and both are decided by the same rule: the ID's own time against a limit that
 * only rises. The limit is the replicated time less the window, or higher where an operator has sent
 * so many commands that the oldest records had to go. An ID without time has a record for good, and
 * past a small number of them no further one is taken.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { CommandRecord, OwnerState } from './cluster-state.js';
import { commandIssueTimeMs } from './command-id.js';

/** How long the result of a command is kept, in milliseconds. */
const COMMAND_WINDOW_MS = 24 * 60 * 60 * 1000;
/** How many results are kept for one operator; beyond it the window shrinks. */
const MAX_COMMAND_RECORDS = 20_000;
/** How many IDs without time one operator may use, ever. */
const MAX_UNTIMED_COMMAND_IDS = 20_000;
/** Which part of the records goes at once when there are too many. */
const EVICTED_PART = 0.1;

/** What may be changed for tests: small bounds reach the same code with fewer commands. */
export interface RecordBounds {
  readonly windowMs: number;
  readonly maxRecords: number;
  readonly maxUntimedIds: number;
}

/** The bounds of a cluster. */
export const defaultRecordBounds: RecordBounds = {
  windowMs: COMMAND_WINDOW_MS,
  maxRecords: MAX_COMMAND_RECORDS,
  maxUntimedIds: MAX_UNTIMED_COMMAND_IDS,
};

/**
 * Forgets what is past the window at the present replicated time.
 */
export function forgetExpiredRecords(
  owner: OwnerState,
  timeMs: number,
  bounds: RecordBounds,
): void {
  owner.expiredUpToMs = Math.max(owner.expiredUpToMs, timeMs - bounds.windowMs);
  for (const [commandId, record] of owner.commandRecords) {
    if (record.issuedAtMs === undefined) {
      continue;
    }
    if (record.issuedAtMs > owner.expiredUpToMs) {
      // Records stand in the order of arrival; the rest is looked at once this one goes.
      break;
    }
    owner.commandRecords.delete(commandId);
  }
}

/**
 * @returns ok where a command of this ID, which has no record, may be applied
 */
export function checkNewCommandId(
  owner: OwnerState,
  commandId: string,
  bounds: RecordBounds,
): Result<undefined, AmberliftError> {
  const issuedAtMs = commandIssueTimeMs(commandId);
  if (issuedAtMs !== undefined && issuedAtMs <= owner.expiredUpToMs) {
    const limit = new Date(owner.expiredUpToMs).toISOString();
    const message = `The command ID was made at or before ${limit}; whether it was applied is told by "show audit".`;
    return err(amberliftError('command-expired', message));
  }
  if (issuedAtMs === undefined && owner.untimedRecordCount >= bounds.maxUntimedIds) {
    const message = 'No further command ID without a time is taken; begin it as 20261202T065703Z-.';
    return err(amberliftError('invalid-command', message));
  }
  return ok(undefined);
}

/**
 * Keeps a result.
 */
export function keepRecord(owner: OwnerState, record: CommandRecord, bounds: RecordBounds): void {
  owner.commandRecords.set(record.commandId, record);
  if (record.issuedAtMs === undefined) {
    owner.untimedRecordCount += 1;
  }
  if (owner.commandRecords.size - owner.untimedRecordCount > bounds.maxRecords) {
    evictOldest(owner, bounds);
  }
}

/** Raises the limit so far that the oldest part of the records may be forgotten. */
function evictOldest(owner: OwnerState, bounds: RecordBounds): void {
  const times = [...owner.commandRecords.values()]
    .map((record) => record.issuedAtMs)
    .filter((time) => time !== undefined)
    .sort((one, other) => one - other);
  const evictedCount = Math.max(1, Math.floor(bounds.maxRecords * EVICTED_PART));
  owner.expiredUpToMs = Math.max(owner.expiredUpToMs, times[evictedCount - 1] ?? 0);
  for (const [commandId, record] of owner.commandRecords) {
    if (record.issuedAtMs !== undefined && record.issuedAtMs <= owner.expiredUpToMs) {
      owner.commandRecords.delete(commandId);
    }
  }
}
