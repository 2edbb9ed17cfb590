/**
 * @file The writes of a member. One write is under way at a time; what gathers meanwhile shares
 * the next (group commit). What depends on a write is done only after it.
 *
 * Owns `ConsensusState.persistence` and `persistedIndex`.
 */
import type { StepScope } from './consensus-events.js';
import type { ConsensusState, DeferredAction } from './consensus-state.js';
import type { LogRecord } from './persisted-state.js';

/**
 * Adds a record to the next write.
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
 * Does an action once everything queued so far is on disk; at once where nothing is.
 * @returns the action where it may be done at once
 */
export function deferUntilPersisted(
  state: ConsensusState,
  action: DeferredAction,
): DeferredAction | undefined {
  const { persistence } = state;
  if (persistence.records.length > 0 || persistence.snapshotIsDue) {
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
 * Drops entries from `index` on, in memory and on disk.
 */
export function truncateLog(state: ConsensusState, index: number): void {
  const { log, persistence } = state;
  if (index > log.last.index) {
    return;
  }
  log.truncateFrom(index);
  state.memberships = state.memberships.filter(
    (set, position) => position === 0 || set.index < index,
  );
  state.persistedIndex = Math.min(state.persistedIndex, index - 1);
  if (persistence.inFlight !== undefined) {
    persistence.inFlight.lastIndex = Math.min(persistence.inFlight.lastIndex, index - 1);
  }
  queueRecord(state, { type: 'truncate', fromIndex: index });
}

/**
 * Starts the next write where none is under way and something waits.
 */
export function flushWrites(scope: StepScope): void {
  const { persistence, storageFailed, snapshot } = scope.state;
  if (persistence.inFlight !== undefined || storageFailed) {
    return;
  }
  if (persistence.snapshotIsDue && snapshot !== undefined) {
    const records = wholeLogRecords(scope.state);
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
 * Records that the write under way has ended.
 * @returns what may be done now
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
  persistence.snapshotIsDue = false;
  return writeId;
}

/** The commit index costs no write of its own; it spares a restarted member the wait for a leader. */
function queueCommitIndex(state: ConsensusState): void {
  if (state.commitIndex > state.persistence.queuedCommitIndex) {
    state.persistence.queuedCommitIndex = state.commitIndex;
    queueRecord(state, { type: 'commit', index: state.commitIndex });
  }
}

/** The records of a log file that holds all that is kept. */
function wholeLogRecords(state: ConsensusState): LogRecord[] {
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
