/**
 * @file What a commit can not do without: one synced write, and one round trip over loopback.
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
    private readonly file: FileHandle,
    private readonly worker: Worker,
    private readonly socket: Socket,
  ) {}

  /** @param folder on the disk that the control machines write to */
  static async start(folder: string): Promise<BareCosts> {
    const file = await open(join(folder, 'bare-writes'), 'a');
    const worker = new Worker(new URL('./echo-worker.js', import.meta.url));
    const [port] = (await once(worker, 'message')) as [number];
    const socket = connect(port, '127.0.0.1');
    socket.setNoDelay(true);
    await once(socket, 'connect');
    return new BareCosts(file, worker, socket);
  }

  /** @returns how long one synced write took, in milliseconds */
  async syncedWrite(): Promise<number> {
    const startMs = performance.now();
    await this.file.write(PAYLOAD);
    await this.file.datasync();
    return performance.now() - startMs;
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
    await this.file.close();
  }
}
