/**
 * @file The in-memory replicated log: entries after a base position. Entries up to the base have been compacted into a
 * snapshot.
 */
import type { Membership } from './membership.js';

/** Content of a log entry. */
export type EntryContent =
  /** First entry of a leader's term; committing it also commits the entries of earlier terms. */
  | { readonly type: 'no-op' }
  /** An encoded state machine command. */
  | { readonly type: 'command'; readonly data: Uint8Array }
  | { readonly type: 'membership'; readonly membership: Membership };

/** A position in the log. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** One entry of the log. */
export interface LogEntry extends LogPosition {
  readonly content: EntryContent;
}

/** Approximate size of an entry without its command. */
const ENTRY_OVERHEAD_BYTES = 64;

/**
 * @returns the approximate size of an entry in a message
 */
function entrySizeBytes(entry: LogEntry): number {
  const { content } = entry;
  return ENTRY_OVERHEAD_BYTES + (content.type === 'command' ? content.data.length : 0);
}

/** Entries after a base position, with consecutive indexes. */
export class ReplicatedLog {
  constructor(
    private basePosition: LogPosition = { index: 0, term: 0 },
    private entries: LogEntry[] = [],
  ) {}

  /** Position just before the first entry. */
  get base(): LogPosition {
    return this.basePosition;
  }

  /** Position of the last entry, or the base if there are no entries. */
  get last(): LogPosition {
    const entry = this.entries.at(-1);
    return entry === undefined ? this.basePosition : { index: entry.index, term: entry.term };
  }

  /** @returns the term at `index` (the base included), or undefined if the log does not contain it */
  termAt(index: number): number | undefined {
    return index === this.basePosition.index ? this.basePosition.term : this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.basePosition.index - 1];
  }

  append(entry: LogEntry): void {
    if (entry.index !== this.last.index + 1) {
      throw new RangeError(
        `Entry ${entry.index} does not follow the last entry ${this.last.index}.`,
      );
    }
    this.entries.push(entry);
  }

  /** Removes the entries from `index` on. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.basePosition.index - 1);
  }

  /** Removes the entries up to `index`, which becomes the base. */
  compactTo(index: number): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.basePosition.index) {
      return;
    }
    this.entries = this.entries.slice(index - this.basePosition.index);
    this.basePosition = { index, term };
  }

  /** Removes all entries and sets a new base. */
  reset(base: LogPosition): void {
    this.entries = [];
    this.basePosition = base;
  }

  /** @returns the entries from `first` to `last`, inclusive */
  slice(first: number, last: number): LogEntry[] {
    const offset = this.basePosition.index + 1;
    return this.entries.slice(Math.max(0, first - offset), Math.max(0, last - offset + 1));
  }

  /** @returns the entries from `first` on that fit into one message; at least one if there are any */
  batchFrom(first: number, maxEntries: number, maxBytes: number): LogEntry[] {
    const batch: LogEntry[] = [];
    let bytes = 0;
    for (let index = first; batch.length < maxEntries; index += 1) {
      const entry = this.entryAt(index);
      if (entry === undefined) {
        break;
      }
      bytes += entrySizeBytes(entry);
      if (batch.length > 0 && bytes > maxBytes) {
        break;
      }
      batch.push(entry);
    }
    return batch;
  }

  /** @returns the first index of the consecutive entries that share the term at `index` */
  firstIndexOfTermAt(index: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first - 1 > this.basePosition.index && this.termAt(first - 1) === term) {
      first -= 1;
    }
    return first;
  }
}
