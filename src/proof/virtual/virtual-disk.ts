/**
 * @file The virtual disk of a control machine. What was not synced may be lost in a crash, the last
 * bytes written may be torn, a rename counts only once the folder is synced, and the disk may be full.
 */
import type { RandomSource } from '../../shared/common/step.js';
import type { StorageFolder } from '../../shared/daemon/storage-folder.js';
import type { VirtualClock } from './virtual-clock.js';

const WRITE_MS = 0.05;
const MIN_SYNC_MS = 0.5;
const SYNC_SPREAD_MS = 2;
const EMPTY = Buffer.alloc(0);

interface VirtualFile {
  content: Buffer;
  /** What is certain to survive a crash. */
  synced: Buffer;
}

/** A disk that outlives the processes that use it. */
export class VirtualDisk {
  private names = new Map<string, VirtualFile>();
  /** The names that are certain to survive a crash. */
  private syncedNames = new Map<string, VirtualFile>();
  /** Writes fail while it is full. */
  isFull = false;
  /** Counts the processes that used it; operations of earlier ones have no effect. */
  private generation = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
  ) {}

  /** Opens the disk for a process that starts. */
  open(): StorageFolder {
    this.generation += 1;
    return new VirtualFolder(this, this.generation);
  }

  /** The machine loses power: what was not synced is lost, whole or in part. */
  crash(): void {
    this.generation += 1;
    const renamesLasted = this.random.nextInt(2) === 1;
    this.names = new Map(renamesLasted ? this.names : this.syncedNames);
    for (const file of this.names.values()) {
      file.content = this.afterCrash(file);
      file.synced = file.content;
    }
    this.syncedNames = new Map(this.names);
  }

  /** The process dies and the machine goes on: what was written stays, synced or not. */
  processDied(): void {
    this.generation += 1;
  }

  /** The disk is replaced by an empty one. */
  wipe(): void {
    this.generation += 1;
    this.names = new Map();
    this.syncedNames = new Map();
  }

  /** Performs an operation of a process after its time; never where the process has died. */
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

  get writeMs(): number {
    return WRITE_MS;
  }

  get syncMs(): number {
    return MIN_SYNC_MS + this.random.nextFloat() * SYNC_SPREAD_MS;
  }

  read(name: string): Buffer | undefined {
    const file = this.names.get(name);
    return file === undefined ? undefined : Buffer.from(file.content);
  }

  write(name: string, content: Uint8Array): void {
    const file = this.names.get(name) ?? this.create(name);
    file.content = EMPTY;
    this.append(name, content);
  }

  append(name: string, content: Uint8Array): void {
    const file = this.names.get(name) ?? this.create(name);
    if (this.isFull) {
      const written = this.random.nextInt(content.length + 1);
      file.content = Buffer.concat([file.content, content.subarray(0, written)]);
      throw new Error('ENOSPC: no space left on device');
    }
    file.content = Buffer.concat([file.content, content]);
  }

  truncate(name: string, length: number): void {
    const file = this.names.get(name) ?? this.create(name);
    file.content = Buffer.from(file.content.subarray(0, length));
  }

  sync(name: string): void {
    const file = this.names.get(name);
    if (file !== undefined) {
      file.synced = file.content;
    }
  }

  rename(from: string, to: string): void {
    const file = this.names.get(from);
    if (file === undefined) {
      throw new Error(`ENOENT: ${from}`);
    }
    this.names.delete(from);
    this.names.set(to, file);
  }

  remove(name: string): void {
    this.names.delete(name);
  }

  syncFolder(): void {
    this.syncedNames = new Map(this.names);
  }

  private create(name: string): VirtualFile {
    const file: VirtualFile = { content: EMPTY, synced: EMPTY };
    this.names.set(name, file);
    return file;
  }

  /** Appended bytes may have reached the disk in part; a file that was cut or replaced, too. */
  private afterCrash(file: VirtualFile): Buffer {
    const { content, synced } = file;
    const isAppended = content.subarray(0, synced.length).equals(synced);
    if (!isAppended) {
      return synced;
    }
    const kept = this.random.nextInt(content.length - synced.length + 1);
    return Buffer.from(content.subarray(0, synced.length + kept));
  }
}

class VirtualFolder implements StorageFolder {
  constructor(
    private readonly disk: VirtualDisk,
    private readonly generation: number,
  ) {}

  read(name: string): Promise<Buffer | undefined> {
    return this.perform(this.disk.writeMs, () => this.disk.read(name));
  }

  write(name: string, content: Uint8Array): Promise<void> {
    return this.perform(this.disk.writeMs, () => this.disk.write(name, content));
  }

  append(name: string, content: Uint8Array): Promise<void> {
    return this.perform(this.disk.writeMs, () => this.disk.append(name, content));
  }

  truncate(name: string, length: number): Promise<void> {
    return this.perform(this.disk.writeMs, () => this.disk.truncate(name, length));
  }

  sync(name: string): Promise<void> {
    return this.perform(this.disk.syncMs, () => this.disk.sync(name));
  }

  rename(from: string, to: string): Promise<void> {
    return this.perform(this.disk.writeMs, () => this.disk.rename(from, to));
  }

  remove(name: string): Promise<void> {
    return this.perform(this.disk.writeMs, () => this.disk.remove(name));
  }

  syncFolder(): Promise<void> {
    return this.perform(this.disk.syncMs, () => this.disk.syncFolder());
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  private perform<T>(delayMs: number, operation: () => T): Promise<T> {
    return this.disk.perform(this.generation, delayMs, operation);
  }
}
