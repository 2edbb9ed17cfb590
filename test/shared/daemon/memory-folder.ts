/** @file An in-memory storage folder that tracks written and synced content separately and can fail at any operation. */
import type { StorageFolder } from '../../../src/shared/daemon/storage-folder.js';

/** Thrown by operations once the folder has failed. */
export class FolderFailure extends Error {}

interface MemoryFile {
  content: Buffer;
  synced: Buffer;
}

/** Files of one folder; `crashed` returns what survives a crash. */
export class MemoryFolder implements StorageFolder {
  /** Number of operations until the folder fails; unlimited by default. */
  operationsLeft = Infinity;
  /** Directory entries, including unsynced changes. */
  private files = new Map<string, MemoryFile>();
  /** Directory entries as of the last sync of the folder. */
  private durableFiles = new Map<string, MemoryFile>();

  async read(name: string): Promise<Buffer | undefined> {
    const file = this.files.get(name);
    return file && Buffer.from(file.content);
  }

  async write(name: string, content: Uint8Array): Promise<void> {
    this.countOperation();
    const file = this.files.get(name) ?? { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
    file.content = Buffer.from(content);
    this.files.set(name, file);
  }

  async append(name: string, content: Uint8Array): Promise<void> {
    this.countOperation();
    const file = this.files.get(name) ?? { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
    file.content = Buffer.concat([file.content, content]);
    this.files.set(name, file);
  }

  async truncate(name: string, length: number): Promise<void> {
    this.countOperation();
    const file = this.files.get(name);
    if (file !== undefined) {
      file.content = file.content.subarray(0, length);
    }
  }

  async sync(name: string): Promise<void> {
    this.countOperation();
    const file = this.files.get(name);
    if (file !== undefined) {
      file.synced = Buffer.from(file.content);
    }
  }

  async rename(from: string, to: string): Promise<void> {
    this.countOperation();
    const file = this.files.get(from);
    if (file !== undefined) {
      this.files.delete(from);
      this.files.set(to, file);
    }
  }

  async remove(name: string): Promise<void> {
    this.countOperation();
    this.files.delete(name);
  }

  async syncFolder(): Promise<void> {
    this.countOperation();
    this.durableFiles = new Map(this.files);
  }

  async close(): Promise<void> {
    await Promise.resolve();
  }

  /**
   * @param unsyncedBytes number of unsynced bytes at the end of each file that survive
   * @returns the folder after a crash
   */
  crashed(unsyncedBytes = 0): MemoryFolder {
    const folder = new MemoryFolder();
    for (const [name, { content, synced }] of this.durableFiles) {
      const extendsSynced = content.subarray(0, synced.length).equals(synced);
      const durableContent = extendsSynced
        ? content.subarray(0, synced.length + unsyncedBytes)
        : synced;
      folder.put(name, durableContent);
    }
    return folder;
  }

  /** Sets the content of a file, already synced. */
  put(name: string, content: Buffer): void {
    const file = { content: Buffer.from(content), synced: Buffer.from(content) };
    this.files.set(name, file);
    this.durableFiles.set(name, file);
  }

  private countOperation(): void {
    if (this.operationsLeft <= 0) {
      throw new FolderFailure('No space left.');
    }
    this.operationsLeft -= 1;
  }
}
