/**
 * @file Writes log lines without blocking on a slow reader. Lines are buffered while a write is in progress; lines beyond
 * the limit are dropped, and the line `N lines were dropped here` reports their number.
 */
import { write } from 'node:fs';

/** Starts a write and calls `ended` once it has succeeded or failed. */
export type StartWrite = (text: string, ended: () => void) => void;

/** File descriptor of standard output. */
export const STANDARD_OUTPUT = 1;
/** File descriptor of standard error. */
export const STANDARD_ERROR = 2;
/** Bounds the memory of buffered lines. */
const MAX_PENDING_CHARACTERS = 256 * 1024;

/** A bounded buffer of lines that are written in batches. */
export class LineWriter {
  private pending: string[] = [];
  private pendingCharacters = 0;
  private isWriting = false;
  private droppedSinceFlush = 0;
  /** Total number of dropped lines. */
  droppedLines = 0;

  constructor(
    private readonly startWrite: StartWrite,
    private readonly maxPendingCharacters: number = MAX_PENDING_CHARACTERS,
  ) {}

  /** Buffers a line, which includes its line terminator, or drops it; never blocks. */
  writeLine(line: string): void {
    if (this.pendingCharacters + line.length > this.maxPendingCharacters) {
      this.droppedLines += 1;
      this.droppedSinceFlush += 1;
      return;
    }
    this.pending.push(line);
    this.pendingCharacters += line.length;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.pending.length === 0) {
      return;
    }
    if (this.droppedSinceFlush > 0) {
      this.pending.push(`${this.droppedSinceFlush} lines were dropped here\n`);
      this.droppedSinceFlush = 0;
    }
    const text = this.pending.join('');
    this.pending = [];
    this.pendingCharacters = 0;
    this.isWriting = true;
    this.startWrite(text, () => {
      this.isWriting = false;
      this.flush();
    });
  }
}

/** Delay before a write to a full non-blocking pipe is retried. */
const FULL_PIPE_RETRY_MS = 10;

/**
 * Writes on the libuv thread pool, so that a blocking write doesn't block the event loop.
 * @param descriptor file descriptor of a file, pipe or terminal
 */
export function writeTo(descriptor: number): StartWrite {
  return (text, ended) => writeAll(descriptor, Buffer.from(text), ended);
}

/**
 * Continues after partial writes and retries if a non-blocking pipe is full. Any other error ends the write silently, since
 * the log output itself has failed.
 */
function writeAll(descriptor: number, bytes: Uint8Array, ended: () => void): void {
  write(descriptor, bytes, 0, bytes.length, null, (error, writtenBytes) => {
    if (error?.code === 'EAGAIN') {
      setTimeout(() => writeAll(descriptor, bytes, ended), FULL_PIPE_RETRY_MS).unref();
    } else if (error !== null || writtenBytes === bytes.length) {
      ended();
    } else {
      writeAll(descriptor, bytes.subarray(writtenBytes), ended);
    }
  });
}
