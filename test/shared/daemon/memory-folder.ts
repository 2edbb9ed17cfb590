/** @file A folder in memory with what is written and what is synced kept apart, for crashes at any write. */
import type { StorageFolder } from '../../../src/shared/daemon/storage-folder.js';

/** Thrown in place of an operation once the folder has crashed or is full. */
export class FolderFailure extends Error {}

interface MemoryFile {
  content: Buffer;
  synced: Buffer;
}

/** Files of one folder; `crash` leaves what was synced. */
export class MemoryFolder implements StorageFolder {
  /** Operations until the folder fails; unbounded by default. */
  operationsLeft = Infinity;
  /** Names as they are now, and as they last. */
  private files = new Map<string, MemoryFile>();
  private lastingFiles = new Map<string, MemoryFile>();

  async read(name: string): Promise<Buffer | undefined> {
    const file = this.files.get(name);
    return file && Buffer.from(file.content);
  }

  async write(name: string, content: Uint8Array): Promise<void> {
    this.count();
    const file = this.files.get(name) ?? { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
    file.content = Buffer.from(content);
    this.files.set(name, file);
  }

  async append(name: string, content: Uint8Array): Promise<void> {
    this.count();
    const file = this.files.get(name) ?? { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
    file.content = Buffer.concat([file.content, content]);
    this.files.set(name, file);
  }

  async truncate(name: string, length: number): Promise<void> {
    this.count();
    const file = this.files.get(name);
    if (file !== undefined) {
      file.content = file.content.subarray(0, length);
    }
  }

  async sync(name: string): Promise<void> {
    this.count();
    const file = this.files.get(name);
    if (file !== undefined) {
      file.synced = Buffer.from(file.content);
    }
  }

  async rename(from: string, to: string): Promise<void> {
    this.count();
    const file = this.files.get(from);
    if (file !== undefined) {
      this.files.delete(from);
      this.files.set(to, file);
    }
  }

  async remove(name: string): Promise<void> {
    this.count();
    this.files.delete(name);
  }

  async syncFolder(): Promise<void> {
    this.count();
    this.lastingFiles = new Map(this.files);
  }

  async close(): Promise<void> {
    await Promise.resolve();
  }

  /**
   * @param unsyncedBytes how many bytes of each file's unsynced end are kept
   * @returns the folder as it is found after a crash
   */
  crashed(unsyncedBytes = 0): MemoryFolder {
    const after = new MemoryFolder();
    for (const [name, { content, synced }] of this.lastingFiles) {
      const extends_ = content.subarray(0, synced.length).equals(synced);
      const kept = extends_ ? content.subarray(0, synced.length + unsyncedBytes) : synced;
      after.put(name, kept);
    }
    return after;
  }

  /** Sets the content of a file, as if it had always been there. */
  put(name: string, content: Buffer): void {
    const file = { content: Buffer.from(content), synced: Buffer.from(content) };
    this.files.set(name, file);
    this.lastingFiles.set(name, file);
  }

  private count(): void {
    if (this.operationsLeft <= 0) {
      throw new FolderFailure('No space is left.');
    }
    this.operationsLeft -= 1;
  }
}
