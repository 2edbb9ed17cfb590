/**
 * @file A proxy on loopback in front of the links of one control machine, which delays, slows down, silences
 * or resets them. It reads nothing of what it carries.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import type { Address } from '../../shared/common/address.js';

/** How the proxy treats what passes it. */
export type ProxyMode =
  | { readonly type: 'open' }
  /** Nothing passes in one direction or in both, and neither end is reset; new links are accepted and lead nowhere. */
  | { readonly type: 'silent'; readonly towards: 'machine' | 'others' | 'both' }
  /** At most so many bytes a second pass in each direction of each link, after a delay. */
  | { readonly type: 'slow'; readonly bytesPerS: number; readonly delayMs: number };

/** A proxy in front of one machine. */
export interface LinkProxy {
  setMode(mode: ProxyMode): void;
  /** Ends all links with a reset. */
  resetAll(): void;
  /** The links of now carry nothing any more and are not reset; new ones work. */
  silenceOpen(): void;
  close(): Promise<void>;
}

const OPEN: ProxyMode = { type: 'open' };
const MS_PER_SECOND = 1_000;
/** What was held up is passed on in pieces, so often. */
const STEP_MS = 20;
/** A direction holds no more than this; the sender is held up then, as by a network. */
const MAX_WAITING_BYTES = 256 * 1_024;

type Towards = 'machine' | 'others';

interface WaitingChunk {
  readonly bytes: Buffer;
  readonly atMs: number;
}

/** One direction of one link. */
interface Pipe {
  readonly from: Socket;
  readonly to: Socket;
  readonly towards: Towards;
  isSilent: boolean;
  waiting: WaitingChunk[];
  waitingBytes: number;
}

/**
 * Listens in front of a machine.
 * @param at the address under which others reach the machine
 * @param machine where the machine listens
 * @returns the proxy; rejects where the address can't be bound
 */
export async function startLinkProxy(at: Address, machine: Address): Promise<LinkProxy> {
  const pipes = new Set<Pipe>();
  let mode: ProxyMode = OPEN;
  const server = createServer((near) => join(near));
  server.listen(at.port, at.host);
  await once(server, 'listening');
  const timer = setInterval(() => pipes.forEach((pipe) => pass(pipe, mode)), STEP_MS);

  return { setMode, resetAll, silenceOpen, close };

  function setMode(next: ProxyMode): void {
    mode = next;
    pipes.forEach((pipe) => pass(pipe, mode));
  }

  function resetAll(): void {
    pipes.forEach(({ from }) => from.resetAndDestroy());
  }

  function silenceOpen(): void {
    pipes.forEach((pipe) => (pipe.isSilent = true));
  }

  async function close(): Promise<void> {
    clearInterval(timer);
    resetAll();
    await closeServer(server);
  }

  function join(near: Socket): void {
    const far = connect(machine.port, machine.host);
    const both: Pipe[] = [pipeOf(near, far, 'machine'), pipeOf(far, near, 'others')];
    both.forEach((pipe) => pipes.add(pipe));
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        // A link that went silent is not reset at its other end.
        if (!both.some(({ isSilent }) => isSilent)) {
          near.destroy();
          far.destroy();
        }
        if (near.destroyed && far.destroyed) {
          both.forEach((pipe) => pipes.delete(pipe));
        }
      });
    }
  }

  function pipeOf(from: Socket, to: Socket, towards: Towards): Pipe {
    const pipe: Pipe = { from, to, towards, isSilent: false, waiting: [], waitingBytes: 0 };
    from.on('data', (bytes: Buffer) => {
      pipe.waiting.push({ bytes, atMs: performance.now() });
      pipe.waitingBytes += bytes.length;
      if (pipe.waitingBytes > MAX_WAITING_BYTES) {
        from.pause();
      }
      if (mode.type === 'open') {
        pass(pipe, mode);
      }
    });
    return pipe;
  }
}

function pass(pipe: Pipe, mode: ProxyMode): void {
  let budgetBytes = budgetOf(pipe, mode);
  const dueMs = performance.now() - (mode.type === 'slow' ? mode.delayMs : 0);
  for (;;) {
    const [chunk] = pipe.waiting;
    if (chunk === undefined || budgetBytes <= 0 || chunk.atMs > dueMs) {
      break;
    }
    const part = chunk.bytes.subarray(0, budgetBytes);
    pipe.to.write(part);
    budgetBytes -= part.length;
    pipe.waitingBytes -= part.length;
    pipe.waiting.shift();
    if (part.length < chunk.bytes.length) {
      pipe.waiting.unshift({ ...chunk, bytes: chunk.bytes.subarray(part.length) });
    }
  }
  if (pipe.waitingBytes <= MAX_WAITING_BYTES && pipe.from.isPaused()) {
    pipe.from.resume();
  }
}

/** @returns how many bytes may pass in this step */
function budgetOf({ towards, isSilent }: Pipe, mode: ProxyMode): number {
  if (isSilent) {
    return 0;
  }
  switch (mode.type) {
    case 'open':
      return Number.POSITIVE_INFINITY;
    case 'silent':
      return mode.towards === 'both' || mode.towards === towards ? 0 : Number.POSITIVE_INFINITY;
    case 'slow':
      return Math.ceil((mode.bytesPerS * STEP_MS) / MS_PER_SECOND);
  }
}

async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => server.close(() => resolve()));
}
