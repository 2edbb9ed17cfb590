/**
 * @file Has this command been applied before, and may it be applied now? The outcome of each command is kept under its ID, so
 * that the same command sent again gets the same outcome. The records are bounded, without letting an old command apply twice:
 *
 * - An ID that carries its time is refused as `command-expired` from the moment its record may have been dropped. Both follow
 *   from one rule: the ID's own time against a limit that only rises. The limit is the replicated time less the window, or
 *   higher where an operator has sent so many commands that the oldest records had to go.
 * - The record of an ID without a time is kept for good, and past a bound no further such ID is accepted.
 *
 * Times are Unix milliseconds of the replicated clock. Owns `commandRecords`, `untimedRecordCount` and `expiredUpToMs`.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { CommandRecord, OwnerState } from './cluster-state.js';
import { commandIssueTimeMs } from './command-id.js';

/**
 * How long the outcome of a command is kept, in milliseconds; a later resend is refused as `command-expired`.
 * Not measured.
 */
const COMMAND_WINDOW_MS = 24 * 60 * 60 * 1000;
/** Outcomes that are kept for one operator; beyond it the window shrinks. Bounds the snapshot; not measured. */
const MAX_COMMAND_RECORDS = 20_000;
/** IDs without a time that one operator may use, ever. Bounds the snapshot; not measured. */
const MAX_UNTIMED_COMMAND_IDS = 20_000;
/** Part of the records that is dropped at once when there are too many, so that few commands pay for the pass. */
const EVICTED_PART = 0.1;

/** Bounds of the records; tests use smaller ones to reach the same code with fewer commands. */
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
 * Drops the records that are past the window at the present replicated time.
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
      // Records stand in the order of arrival; the rest is checked once this one is dropped.
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
 * Records the outcome of a command.
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

/** Raises the limit so far that the oldest part of the records can be dropped. */
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
