/**
 * @file The heartbeats of back ends as one control machine knows them: state that is rebuilt from the
 * next heartbeats wherever it is lost, and so is never written to disk.
 */
import type { BackendRecord } from './backend-record.js';

/** A record with the time at which its heartbeat came. */
export interface HeardRecord {
  readonly record: BackendRecord;
  /** On the clock of this process, in milliseconds. */
  readonly heardAtMs: number;
}

/** The last heartbeat of each back end. */
export class HeartbeatRegistry {
  private readonly records = new Map<string, HeardRecord>();

  /** How many back ends are known. */
  get size(): number {
    return this.records.size;
  }

  get(id: string): HeardRecord | undefined {
    return this.records.get(id);
  }

  /** All known back ends, in the order in which they were first heard of. */
  all(): IterableIterator<HeardRecord> {
    return this.records.values();
  }

  /**
   * Takes a heartbeat; one that comes after a later one of the same back end is passed over.
   * @returns true where it was taken
   */
  take(record: BackendRecord, heardAtMs: number): boolean {
    const known = this.records.get(record.id);
    if (known !== undefined && known.record.sequence >= record.sequence) {
      return false;
    }
    this.records.set(record.id, { record, heardAtMs });
    return true;
  }

  /** Forgets back ends that have been silent for longer than `afterMs`. */
  forgetSilent(nowMs: number, afterMs: number): void {
    for (const [id, { heardAtMs }] of this.records) {
      if (nowMs - heardAtMs > afterMs) {
        this.records.delete(id);
      }
    }
  }
}
