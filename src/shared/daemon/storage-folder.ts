/**
 * @file The file operations that storage needs, behind an interface so that tests can inject failures and crashes.
 */
import { mkdir, open, readFile, rename, rm, type FileHandle } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';

/** Files of one folder. Unsynced changes may be lost in a crash. Operations reject with the error of the operating system. */
export interface StorageFolder {
  /** @returns the content, or undefined if the file doesn't exist */
  read(name: string): Promise<Buffer | undefined>;
  /** Creates or truncates the file and writes the content. */
  write(name: string, content: Uint8Array): Promise<void>;
  append(name: string, content: Uint8Array): Promise<void>;
  truncate(name: string, length: number): Promise<void>;
  /** Makes the content of a file durable. */
  sync(name: string): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
  /** Makes created, renamed and removed directory entries durable. */
  syncFolder(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Opens a folder on disk. Creates it if it is missing, and syncs its parents so that the new entries are durable.
 */
export async function openStorageFolder(path: string): Promise<StorageFolder> {
  const firstCreated = await mkdir(path, { recursive: true });
  if (firstCreated !== undefined) {
    const outermost = dirname(resolve(firstCreated));
    for (let parent = dirname(resolve(path)); ; parent = dirname(parent)) {
      await syncFolderAt(parent);
      if (parent === outermost) {
        break;
      }
    }
  }
  return new DiskFolder(path);
}

async function syncFolderAt(path: string): Promise<void> {
  const handle = await open(path, 'r');
  await handle.sync();
  await handle.close();
}

class DiskFolder implements StorageFolder {
  private readonly handles = new Map<string, FileHandle>();

  constructor(private readonly path: string) {}

  async read(name: string): Promise<Buffer | undefined> {
    try {
      return await readFile(join(this.path, name));
    } catch (cause) {
      if ((cause as NodeJS.ErrnoException).code === 'ENOENT') {
        return undefined;
      }
      throw cause;
    }
  }

  async write(name: string, content: Uint8Array): Promise<void> {
    const handle = await this.openHandle(name);
    await handle.truncate(0);
    await handle.appendFile(content);
  }

  async append(name: string, content: Uint8Array): Promise<void> {
    const handle = await this.openHandle(name);
    const { bytesWritten } = await handle.write(content);
    if (bytesWritten < content.length) {
      throw new Error(`Only ${bytesWritten} of ${content.length} bytes were written.`);
    }
  }

  async truncate(name: string, length: number): Promise<void> {
    await (await this.openHandle(name)).truncate(length);
  }

  async sync(name: string): Promise<void> {
    await (await this.openHandle(name)).datasync();
  }

  async rename(from: string, to: string): Promise<void> {
    await this.closeHandle(from);
    await this.closeHandle(to);
    await rename(join(this.path, from), join(this.path, to));
  }

  async remove(name: string): Promise<void> {
    await this.closeHandle(name);
    await rm(join(this.path, name), { force: true });
  }

  async syncFolder(): Promise<void> {
    await syncFolderAt(this.path);
  }

  async close(): Promise<void> {
    await Promise.all([...this.handles.keys()].map((name) => this.closeHandle(name)));
  }

  private async openHandle(name: string): Promise<FileHandle> {
    const existing = this.handles.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const handle = await open(join(this.path, name), 'a');
    this.handles.set(name, handle);
    return handle;
  }

  private async closeHandle(name: string): Promise<void> {
    const handle = this.handles.get(name);
    this.handles.delete(name);
    await handle?.close();
  }
}
