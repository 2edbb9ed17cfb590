/**
 * @file Deduplication of commands. The outcome of each command is stored under its ID, so that a retry gets the same
 * outcome.
 *
 * - A record whose ID has a timestamp is dropped once the timestamp is at or below `expiredUpToMs`; such IDs are then
 *   refused as `command-expired`. `expiredUpToMs` never decreases, so no command is applied twice.
 * - Records of other IDs are never dropped; at a limit, further IDs without a timestamp are refused.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { CommandRecord, OwnerState } from './cluster-state.js';
import { commandIssueTimeMs } from './command-id.js';

/** How long an outcome is stored; a later retry is refused as `command-expired`. */
const RECORD_RETENTION_MS = 24 * 60 * 60 * 1000;
/** Limit per operator for IDs with a timestamp; bounds the snapshot size. Above it the oldest records expire early. */
const MAX_COMMAND_RECORDS = 20_000;
/** Limit per operator over the lifetime of the cluster; bounds the snapshot size. */
const MAX_UNTIMED_COMMAND_IDS = 20_000;
/** Share of the records evicted at once; a batch amortizes the cost of sorting them. */
const EVICTION_FRACTION = 0.1;

/** Limits on the age and number of one operator's records. */
export interface RecordBounds {
  readonly retentionMs: number;
  readonly maxRecords: number;
  readonly maxUntimedIds: number;
}

/** The limits in production. */
export const defaultRecordBounds: RecordBounds = {
  retentionMs: RECORD_RETENTION_MS,
  maxRecords: MAX_COMMAND_RECORDS,
  maxUntimedIds: MAX_UNTIMED_COMMAND_IDS,
};

/**
 * Drops records older than the retention period.
 * @param timeMs replicated time in Unix milliseconds
 */
export function dropExpiredRecords(owner: OwnerState, timeMs: number, bounds: RecordBounds): void {
  owner.expiredUpToMs = Math.max(owner.expiredUpToMs, timeMs - bounds.retentionMs);
  for (const [commandId, record] of owner.commandRecords) {
    if (record.issuedAtMs === undefined) {
      continue;
    }
    if (record.issuedAtMs > owner.expiredUpToMs) {
      // Records are in order of arrival; later ones are checked after this one has expired.
      break;
    }
    owner.commandRecords.delete(commandId);
  }
}

/**
 * Checks that a command may be applied under an ID without a record.
 * @returns `command-expired` or `invalid-command` if it may not
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
 * Stores the outcome of a command; evicts the oldest records if there are too many.
 */
export function addRecord(owner: OwnerState, record: CommandRecord, bounds: RecordBounds): void {
  owner.commandRecords.set(record.commandId, record);
  if (record.issuedAtMs === undefined) {
    owner.untimedRecordCount += 1;
  }
  if (owner.commandRecords.size - owner.untimedRecordCount > bounds.maxRecords) {
    evictOldest(owner, bounds);
  }
}

/** Raises `expiredUpToMs` to expire the oldest records, and drops them. */
function evictOldest(owner: OwnerState, bounds: RecordBounds): void {
  const times = [...owner.commandRecords.values()]
    .map((record) => record.issuedAtMs)
    .filter((time) => time !== undefined)
    .sort((one, other) => one - other);
  const evictedCount = Math.max(1, Math.floor(bounds.maxRecords * EVICTION_FRACTION));
  owner.expiredUpToMs = Math.max(owner.expiredUpToMs, times[evictedCount - 1] ?? 0);
  for (const [commandId, record] of owner.commandRecords) {
    if (record.issuedAtMs !== undefined && record.issuedAtMs <= owner.expiredUpToMs) {
      owner.commandRecords.delete(commandId);
    }
  }
}
