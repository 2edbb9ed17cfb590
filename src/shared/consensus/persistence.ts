/**
 * @file Queues a member's disk writes. One write is in flight at a time, later records are batched into the next one
 * (group commit), and dependent actions are deferred until their write is on disk.
 */
import type { StepScope } from './consensus-events.js';
import type { ConsensusState, DeferredAction } from './consensus-state.js';
import type { LogRecord } from './persisted-state.js';

/**
 * Adds a record to the next write; consecutive entries records are merged.
 */
export function queueRecord(state: ConsensusState, record: LogRecord): void {
  const { records } = state.persistence;
  const previous = records.at(-1);
  if (record.type === 'entries' && previous?.type === 'entries') {
    records[records.length - 1] = {
      type: 'entries',
      entries: [...previous.entries, ...record.entries],
    };
    return;
  }
  records.push(record);
}

/**
 * Adds the current term and vote to the next write.
 */
export function queueVote(state: ConsensusState): void {
  queueRecord(state, { type: 'vote', term: state.term, votedFor: state.votedFor });
}

/**
 * Defers an action until everything queued so far is on disk.
 * @returns the action if nothing is queued or in flight, so that the caller can run it immediately; else undefined
 */
export function deferUntilPersisted(
  state: ConsensusState,
  action: DeferredAction,
): DeferredAction | undefined {
  const { persistence } = state;
  if (persistence.records.length > 0 || persistence.isSnapshotPending) {
    persistence.deferred.push(action);
    return undefined;
  }
  if (persistence.inFlight !== undefined) {
    persistence.inFlight.deferred.push(action);
    return undefined;
  }
  return action;
}

/**
 * Removes the entries from `index` on, in memory and on disk.
 */
export function truncateLog(state: ConsensusState, index: number): void {
  const { log, persistence } = state;
  if (index > log.last.index) {
    return;
  }
  log.truncateFrom(index);
  state.memberships = state.memberships.filter(
    (entry, position) => position === 0 || entry.index < index,
  );
  state.persistedIndex = Math.min(state.persistedIndex, index - 1);
  if (persistence.inFlight !== undefined) {
    persistence.inFlight.lastIndex = Math.min(persistence.inFlight.lastIndex, index - 1);
  }
  queueRecord(state, { type: 'truncate', fromIndex: index });
}

/**
 * Starts the next write if something is queued and no write is in flight.
 */
export function flushWrites(scope: StepScope): void {
  const { persistence, storageFailed, snapshot } = scope.state;
  if (persistence.inFlight !== undefined || storageFailed) {
    return;
  }
  if (persistence.isSnapshotPending && snapshot !== undefined) {
    const records = fullLogRecords(scope.state);
    const writeId = startWrite(scope.state);
    scope.effects.push({ type: 'persist-snapshot', writeId, snapshot, records });
  } else if (persistence.records.length > 0) {
    queueCommitIndex(scope.state);
    const { records } = persistence;
    const writeId = startWrite(scope.state);
    scope.effects.push({ type: 'persist', writeId, records });
  }
}

/**
 * Marks the write in flight as done; ignores an unknown `writeId`.
 * @returns the actions that were deferred until this write
 */
export function finishWrite(state: ConsensusState, writeId: number): readonly DeferredAction[] {
  const { inFlight } = state.persistence;
  if (inFlight?.writeId !== writeId) {
    return [];
  }
  state.persistence.inFlight = undefined;
  state.persistedIndex = inFlight.lastIndex;
  return inFlight.deferred;
}

function startWrite(state: ConsensusState): number {
  const { persistence } = state;
  const writeId = persistence.nextWriteId;
  persistence.nextWriteId += 1;
  persistence.inFlight = {
    writeId,
    lastIndex: state.log.last.index,
    deferred: persistence.deferred,
  };
  persistence.records = [];
  persistence.deferred = [];
  persistence.isSnapshotPending = false;
  return writeId;
}

/** A persisted commit index lets a restarted member apply entries before a leader contacts it. */
function queueCommitIndex(state: ConsensusState): void {
  if (state.commitIndex > state.persistence.queuedCommitIndex) {
    state.persistence.queuedCommitIndex = state.commitIndex;
    queueRecord(state, { type: 'commit', index: state.commitIndex });
  }
}

/** The complete content of a new log file. */
function fullLogRecords(state: ConsensusState): LogRecord[] {
  const { log, clusterId, term, votedFor, commitIndex } = state;
  const { base, last } = log;
  state.persistence.queuedCommitIndex = commitIndex;
  return [
    { type: 'base', base },
    ...(clusterId === undefined ? [] : [{ type: 'cluster' as const, clusterId }]),
    { type: 'vote', term, votedFor },
    { type: 'entries', entries: log.slice(base.index + 1, last.index) },
    { type: 'commit', index: commitIndex },
  ];
}
