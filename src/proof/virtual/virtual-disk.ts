/**
 * @file The virtual disk of a control machine. A crash may lose unsynced data, tear the last write and undo renames
 * whose folder was not synced. The disk can also be full.
 */
import type { RandomSource } from '../../shared/common/step.js';
import type { StorageFolder } from '../../shared/daemon/storage-folder.js';
import type { VirtualClock } from './virtual-clock.js';

const WRITE_LATENCY_MS = 0.05;
/** Sync latency is uniform from the minimum to the minimum plus the spread, like that of an SSD. */
const MIN_SYNC_LATENCY_MS = 0.5;
const SYNC_LATENCY_SPREAD_MS = 2;
const EMPTY = Buffer.alloc(0);

interface VirtualFile {
  content: Buffer;
  /** Content that survives a crash. */
  synced: Buffer;
}

/** A disk that persists across restarts of the processes that use it. */
export class VirtualDisk {
  private entries = new Map<string, VirtualFile>();
  /** Directory entries that survive a crash. */
  private syncedEntries = new Map<string, VirtualFile>();
  /** If true, appended data is written in part and the write fails. */
  isFull = false;
  /** Incremented when a process opens the disk or ends; operations of earlier generations are dropped. */
  private generation = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
  ) {}

  /** Opens the disk for a new process. */
  open(): StorageFolder {
    this.generation += 1;
    return new VirtualFolder(this, this.generation);
  }

  /** Simulates a power failure: unsynced data is lost in whole or in part. */
  crash(): void {
    this.generation += 1;
    const areRenamesKept = this.random.nextInt(2) === 1;
    this.entries = new Map(areRenamesKept ? this.entries : this.syncedEntries);
    for (const file of this.entries.values()) {
      file.content = this.contentAfterCrash(file);
      file.synced = file.content;
    }
    this.syncedEntries = new Map(this.entries);
  }

  /** Ends the process while the machine keeps running: unsynced writes are kept. */
  killProcess(): void {
    this.generation += 1;
  }

  /** Replaces the disk by an empty one. */
  wipe(): void {
    this.generation += 1;
    this.entries = new Map();
    this.syncedEntries = new Map();
  }

  /** Performs an operation after its latency, unless the process of `generation` has ended by then. */
  perform<T>(generation: number, delayMs: number, operation: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
      this.clock.after(delayMs, () => {
        if (generation !== this.generation) {
          return;
        }
        this.clock.markPromiseSettled();
        try {
          resolve(operation());
        } catch (cause) {
          reject(cause instanceof Error ? cause : new Error(String(cause)));
        }
      });
    });
  }

  get writeLatencyMs(): number {
    return WRITE_LATENCY_MS;
  }

  get syncLatencyMs(): number {
    return MIN_SYNC_LATENCY_MS + this.random.nextFloat() * SYNC_LATENCY_SPREAD_MS;
  }

  read(name: string): Buffer | undefined {
    const file = this.entries.get(name);
    return file === undefined ? undefined : Buffer.from(file.content);
  }

  write(name: string, content: Uint8Array): void {
    const file = this.entries.get(name) ?? this.create(name);
    file.content = EMPTY;
    this.append(name, content);
  }

  append(name: string, content: Uint8Array): void {
    const file = this.entries.get(name) ?? this.create(name);
    if (this.isFull) {
      const written = this.random.nextInt(content.length + 1);
      file.content = Buffer.concat([file.content, content.subarray(0, written)]);
      throw new Error('ENOSPC: no space left on device');
    }
    file.content = Buffer.concat([file.content, content]);
  }

  truncate(name: string, length: number): void {
    const file = this.entries.get(name) ?? this.create(name);
    file.content = Buffer.from(file.content.subarray(0, length));
  }

  sync(name: string): void {
    const file = this.entries.get(name);
    if (file !== undefined) {
      file.synced = file.content;
    }
  }

  rename(from: string, to: string): void {
    const file = this.entries.get(from);
    if (file === undefined) {
      throw new Error(`ENOENT: ${from}`);
    }
    this.entries.delete(from);
    this.entries.set(to, file);
  }

  remove(name: string): void {
    this.entries.delete(name);
  }

  syncFolder(): void {
    this.syncedEntries = new Map(this.entries);
  }

  private create(name: string): VirtualFile {
    const file: VirtualFile = { content: EMPTY, synced: EMPTY };
    this.entries.set(name, file);
    return file;
  }

  /** Keeps a random part of unsynced appended bytes; a truncated or replaced file returns to its synced content. */
  private contentAfterCrash(file: VirtualFile): Buffer {
    const { content, synced } = file;
    const isAppended = content.subarray(0, synced.length).equals(synced);
    if (!isAppended) {
      return synced;
    }
    const keptBytes = this.random.nextInt(content.length - synced.length + 1);
    return Buffer.from(content.subarray(0, synced.length + keptBytes));
  }
}

class VirtualFolder implements StorageFolder {
  constructor(
    private readonly disk: VirtualDisk,
    private readonly generation: number,
  ) {}

  read(name: string): Promise<Buffer | undefined> {
    return this.perform(this.disk.writeLatencyMs, () => this.disk.read(name));
  }

  write(name: string, content: Uint8Array): Promise<void> {
    return this.perform(this.disk.writeLatencyMs, () => this.disk.write(name, content));
  }

  append(name: string, content: Uint8Array): Promise<void> {
    return this.perform(this.disk.writeLatencyMs, () => this.disk.append(name, content));
  }

  truncate(name: string, length: number): Promise<void> {
    return this.perform(this.disk.writeLatencyMs, () => this.disk.truncate(name, length));
  }

  sync(name: string): Promise<void> {
    return this.perform(this.disk.syncLatencyMs, () => this.disk.sync(name));
  }

  rename(from: string, to: string): Promise<void> {
    return this.perform(this.disk.writeLatencyMs, () => this.disk.rename(from, to));
  }

  remove(name: string): Promise<void> {
    return this.perform(this.disk.writeLatencyMs, () => this.disk.remove(name));
  }

  syncFolder(): Promise<void> {
    return this.perform(this.disk.syncLatencyMs, () => this.disk.syncFolder());
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  private perform<T>(delayMs: number, operation: () => T): Promise<T> {
    return this.disk.perform(this.generation, delayMs, operation);
  }
}
