/**
 * @file The replicated log in memory: the entries after a base position. Entries up to the base were
 * compacted into a snapshot.
 */
import type { Membership } from './membership.js';

/** What an entry carries. */
export type EntryContent =
  /** First entry of a leader's term, by which it learns what is committed. */
  | { readonly type: 'no-op' }
  /** A command of the state machine, in its encoded form. */
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

/** Bytes that an entry takes besides its command, roughly. */
const ENTRY_OVERHEAD_BYTES = 64;

/**
 * @returns about how many bytes an entry takes in a message
 */
function entrySizeBytes(entry: LogEntry): number {
  const { content } = entry;
  return ENTRY_OVERHEAD_BYTES + (content.type === 'command' ? content.data.length : 0);
}

/** The entries after a base position; indexes have no gaps. */
export class ReplicatedLog {
  constructor(
    private basePosition: LogPosition = { index: 0, term: 0 },
    private entries: LogEntry[] = [],
  ) {}

  /** The position just before the first entry that is held. */
  get base(): LogPosition {
    return this.basePosition;
  }

  /** The position of the last entry, or the base where there is none. */
  get last(): LogPosition {
    const entry = this.entries.at(-1);
    return entry === undefined ? this.basePosition : { index: entry.index, term: entry.term };
  }

  /** @returns the term of the entry at `index`, or undefined where it is not held */
  termAt(index: number): number | undefined {
    return index === this.basePosition.index ? this.basePosition.term : this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.basePosition.index - 1];
  }

  append(entry: LogEntry): void {
    if (entry.index !== this.last.index + 1) {
      throw new RangeError(`Entry ${entry.index} does not follow on ${this.last.index}.`);
    }
    this.entries.push(entry);
  }

  /** Drops the entries from `index` on. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.basePosition.index - 1);
  }

  /** Drops the entries up to `index`, which becomes the base. */
  compactTo(index: number): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.basePosition.index) {
      return;
    }
    this.entries = this.entries.slice(index - this.basePosition.index);
    this.basePosition = { index, term };
  }

  /** Drops everything and starts again after `base`. */
  reset(base: LogPosition): void {
    this.entries = [];
    this.basePosition = base;
  }

  /** @returns the entries from `first` to `last`, both included */
  slice(first: number, last: number): LogEntry[] {
    const offset = this.basePosition.index + 1;
    return this.entries.slice(Math.max(0, first - offset), Math.max(0, last - offset + 1));
  }

  /** @returns the entries from `first` on that fit into one message; at least one where there is one */
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

  /** @returns the first index of the run of entries that have the term of the one at `index` */
  firstIndexOfTermAt(index: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first - 1 > this.basePosition.index && this.termAt(first - 1) === term) {
      first -= 1;
    }
    return first;
  }
}
