/**
 * @file The few file operations that storage is built on, behind an interface, so that tests can make
 * any of them fail or crash.
 */
import { mkdir, open, readFile, rename, rm, type FileHandle } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';

/**
 * Files of one folder. What is not synced may be lost in a crash. All operations reject with what the operating system says;
 * `consensus-storage.ts` is the one place that decides what follows from it.
 */
export interface StorageFolder {
  /** @returns the content, or undefined where there is no such file */
  read(name: string): Promise<Buffer | undefined>;
  /** Creates or empties the file and writes the content. */
  write(name: string, content: Uint8Array): Promise<void>;
  append(name: string, content: Uint8Array): Promise<void>;
  truncate(name: string, length: number): Promise<void>;
  /** Makes the content of a file last. */
  sync(name: string): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
  /** Makes new names, renames and removals last. */
  syncFolder(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Opens a folder of the real disk; creates it, and makes its name last, where it is missing.
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
    const handle = await this.handleOf(name);
    await handle.truncate(0);
    await handle.appendFile(content);
  }

  async append(name: string, content: Uint8Array): Promise<void> {
    const handle = await this.handleOf(name);
    const { bytesWritten } = await handle.write(content);
    if (bytesWritten < content.length) {
      throw new Error(`Only ${bytesWritten} of ${content.length} bytes were written.`);
    }
  }

  async truncate(name: string, length: number): Promise<void> {
    await (await this.handleOf(name)).truncate(length);
  }

  async sync(name: string): Promise<void> {
    await (await this.handleOf(name)).datasync();
  }

  async rename(from: string, to: string): Promise<void> {
    await this.release(from);
    await this.release(to);
    await rename(join(this.path, from), join(this.path, to));
  }

  async remove(name: string): Promise<void> {
    await this.release(name);
    await rm(join(this.path, name), { force: true });
  }

  async syncFolder(): Promise<void> {
    await syncFolderAt(this.path);
  }

  async close(): Promise<void> {
    await Promise.all([...this.handles.keys()].map((name) => this.release(name)));
  }

  private async handleOf(name: string): Promise<FileHandle> {
    const known = this.handles.get(name);
    if (known !== undefined) {
      return known;
    }
    const handle = await open(join(this.path, name), 'a');
    this.handles.set(name, handle);
    return handle;
  }

  private async release(name: string): Promise<void> {
    const handle = this.handles.get(name);
    this.handles.delete(name);
    await handle?.close();
  }
}
