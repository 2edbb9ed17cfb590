/**
 * @file What a commit can not do without: one synced write, and one round trip over loopback. On one
 * disk for all machines the writes of a commit also wait for one another, so writes at once are timed as
 * well.
 */
import { once } from 'node:events';
import { open, type FileHandle } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { join } from 'node:path';
import { Worker } from 'node:worker_threads';

/** Bytes of a record or a message of one change, roughly. */
const PAYLOAD = Buffer.alloc(256, 1);

/** Performs bare writes and round trips, each on request. */
export class BareCosts {
  private constructor(
    private readonly files: readonly FileHandle[],
    private readonly worker: Worker,
    private readonly socket: Socket,
  ) {}

  /**
   * @param folder on the disk that the control machines write to
   * @param writers how many files may be written to at once
   */
  static async start(folder: string, writers: number): Promise<BareCosts> {
    const files = await Promise.all(
      Array.from({ length: writers }, (_, number) => open(join(folder, `bare-${number}`), 'a')),
    );
    const worker = new Worker(new URL('./echo-worker.js', import.meta.url));
    const [port] = (await once(worker, 'message')) as [number];
    const socket = connect(port, '127.0.0.1');
    socket.setNoDelay(true);
    await once(socket, 'connect');
    return new BareCosts(files, worker, socket);
  }

  /** @returns how long one synced write took, in milliseconds */
  async syncedWrite(): Promise<number> {
    const [file] = this.files;
    return file === undefined ? NaN : timedWrite(file, performance.now());
  }

  /**
   * Writes to all files at once and waits for the end of all.
   * @returns how long it took until a majority of them was synced, in milliseconds
   */
  async majorityOfWrites(): Promise<number> {
    const startMs = performance.now();
    const times = await Promise.all(this.files.map((file) => timedWrite(file, startMs)));
    times.sort((left, right) => left - right);
    return times[Math.floor(times.length / 2)] ?? NaN;
  }

  /** @returns how long one round trip took, in milliseconds */
  async roundTrip(): Promise<number> {
    const startMs = performance.now();
    this.socket.write(PAYLOAD);
    for (let received = 0; received < PAYLOAD.length;) {
      const [part] = (await once(this.socket, 'data')) as [Buffer];
      received += part.length;
    }
    return performance.now() - startMs;
  }

  async stop(): Promise<void> {
    this.socket.destroy();
    await this.worker.terminate();
    await Promise.all(this.files.map((file) => file.close()));
  }
}

async function timedWrite(file: FileHandle, startMs: number): Promise<number> {
  await file.write(PAYLOAD);
  await file.datasync();
  return performance.now() - startMs;
}
