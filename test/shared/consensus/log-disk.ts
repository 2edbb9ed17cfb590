/**
 * @file An in-memory disk for log records and snapshots, with one write in progress at a time. A crash may lose that
 * write. Files, renames and syncs are simulated by src/proof/virtual/virtual-disk instead.
 */
import type { RandomSource } from '../../../src/shared/common/step.js';
import type {
  LogRecord,
  PersistEffect,
  RecoveredState,
  Snapshot,
} from '../../../src/shared/consensus/persisted-state.js';

/** Disk of one machine. */
export class LogDisk {
  /** While true, every write ends with an error. */
  failsSyncs = false;
  private snapshot: Snapshot | undefined;
  private records: LogRecord[] = [{ type: 'base', base: { index: 0, term: 0 } }];
  private pendingWrite: PersistEffect | undefined;

  constructor(readonly storageId: string) {}

  begin(write: PersistEffect): void {
    if (this.pendingWrite !== undefined) {
      throw new Error('A write is already in progress.');
    }
    this.pendingWrite = write;
  }

  /** Completes the write in progress. */
  finish(): void {
    const write = this.pendingWrite;
    this.pendingWrite = undefined;
    if (write?.type === 'persist') {
      this.records = [...this.records, ...write.records];
    } else if (write !== undefined) {
      this.snapshot = write.snapshot;
      this.records = [...write.records];
    }
  }

  /** Keeps the write in progress, loses it, or keeps only its snapshot, at random. */
  crash(random: RandomSource): void {
    const write = this.pendingWrite;
    const survives = random.nextInt(2) === 0;
    if (survives) {
      this.finish();
    } else if (write?.type === 'persist-snapshot' && random.nextInt(2) === 0) {
      this.snapshot = write.snapshot;
    }
    this.pendingWrite = undefined;
  }

  recover(): RecoveredState {
    return { storageId: this.storageId, snapshot: this.snapshot, records: this.records };
  }
}
