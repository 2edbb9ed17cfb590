/**
 * @file A disk in memory that holds log records and snapshots; one write is under way at a time and ends when the test says so. A
 * crash may lose it. The files, renames and syncs below are modelled by src/proof/virtual/virtual-disk.
 */
import type { RandomSource } from '../../../src/shared/common/step.js';
import type {
  LogRecord,
  PersistEffect,
  RecoveredState,
  Snapshot,
} from '../../../src/shared/consensus/persisted-state.js';

/** The disk of one machine. */
export class LogDisk {
  /** Every sync fails from now on. */
  isFull = false;
  private snapshot: Snapshot | undefined;
  private records: LogRecord[] = [{ type: 'base', base: { index: 0, term: 0 } }];
  private underWay: PersistEffect | undefined;

  constructor(readonly storageId: string) {}

  begin(write: PersistEffect): void {
    if (this.underWay !== undefined) {
      throw new Error('Two writes are under way at once.');
    }
    this.underWay = write;
  }

  /** The write under way is on disk now. */
  finish(): void {
    const write = this.underWay;
    this.underWay = undefined;
    if (write?.type === 'persist') {
      this.records = [...this.records, ...write.records];
    } else if (write !== undefined) {
      this.snapshot = write.snapshot;
      this.records = [...write.records];
    }
  }

  /** A write that was under way is there, or not, or its snapshot alone is. */
  crash(random: RandomSource): void {
    const write = this.underWay;
    const survives = random.nextInt(2) === 0;
    if (survives) {
      this.finish();
    } else if (write?.type === 'persist-snapshot' && random.nextInt(2) === 0) {
      this.snapshot = write.snapshot;
    }
    this.underWay = undefined;
  }

  recover(): RecoveredState {
    return { storageId: this.storageId, snapshot: this.snapshot, records: this.records };
  }
}
