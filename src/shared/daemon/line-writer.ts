/**
 * @file Writes log lines without ever waiting for their reader. Lines gather while a write is under way; what exceeds the
 * bound is dropped and counted, and the line `N lines were dropped here` says how many.
 */
import { write } from 'node:fs';

/** Starts a write and calls back once it has ended, well or not. */
export type StartWrite = (text: string, ended: () => void) => void;

/** Descriptor of standard output. */
export const STANDARD_OUTPUT = 1;
/** Descriptor of standard error. */
export const STANDARD_ERROR = 2;
/** Bounds the memory of lines that nobody reads. Not measured. */
const MAX_WAITING_CHARACTERS = 256 * 1024;

/** A bounded queue of lines before a file. */
export class LineWriter {
  private waiting: string[] = [];
  private waitingCharacters = 0;
  private isWriting = false;
  private droppedSinceLast = 0;
  /** Lines that were dropped so far. */
  droppedLines = 0;

  constructor(
    private readonly startWrite: StartWrite,
    private readonly maxWaitingCharacters: number = MAX_WAITING_CHARACTERS,
  ) {}

  /** Queues a line, given with its end; returns at once. */
  writeLine(line: string): void {
    if (this.waitingCharacters + line.length > this.maxWaitingCharacters) {
      this.droppedLines += 1;
      this.droppedSinceLast += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingCharacters += line.length;
    this.writeOn();
  }

  private writeOn(): void {
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    if (this.droppedSinceLast > 0) {
      this.waiting.push(`${this.droppedSinceLast} lines were dropped here\n`);
      this.droppedSinceLast = 0;
    }
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingCharacters = 0;
    this.isWriting = true;
    this.startWrite(text, () => {
      this.isWriting = false;
      this.writeOn();
    });
  }
}

/** A full pipe that was set not to wait is tried again after this time. Not measured. */
const RETRY_FULL_AFTER_MS = 10;

/**
 * Writes by a thread of the pool, which may wait for the reader; the process does not.
 * @param descriptor of a file, pipe or terminal
 */
export function writeTo(descriptor: number): StartWrite {
  return (text, ended) => writeAll(descriptor, Buffer.from(text), ended);
}

/**
 * A pipe may accept a part only, or nothing where it was set not to wait. Any other error ends the write without a word:
 * the output itself is what failed, and nothing else is left to write to.
 */
function writeAll(descriptor: number, bytes: Uint8Array, ended: () => void): void {
  write(descriptor, bytes, 0, bytes.length, null, (error, writtenBytes) => {
    if (error?.code === 'EAGAIN') {
      setTimeout(() => writeAll(descriptor, bytes, ended), RETRY_FULL_AFTER_MS).unref();
    } else if (error !== null || writtenBytes === bytes.length) {
      ended();
    } else {
      writeAll(descriptor, bytes.subarray(writtenBytes), ended);
    }
  });
}
