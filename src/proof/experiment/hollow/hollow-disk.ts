/**
 * @file A disk in memory for a hollow control machine, which keeps what was written when the machine
 * restarts.
 */
import type {
  LogRecord,
  PersistEffect,
  RecoveredState,
} from '../../../shared/consensus/persisted-state.js';

/** What one control machine has on disk. */
export class HollowDisk {
  private snapshot: RecoveredState['snapshot'];
  private records: LogRecord[];

  constructor(private readonly first: RecoveredState) {
    this.snapshot = first.snapshot;
    this.records = [...first.records];
  }

  /** Writes and syncs. */
  write(effect: PersistEffect): void {
    if (effect.type === 'persist') {
      this.records.push(...effect.records);
      return;
    }
    this.snapshot = effect.snapshot;
    this.records = [...effect.records];
  }

  /** What a machine that starts finds. */
  recover(): RecoveredState {
    const { storageId } = this.first;
    return { storageId, snapshot: this.snapshot, records: [...this.records] };
  }
}
