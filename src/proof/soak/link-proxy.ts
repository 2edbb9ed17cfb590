/**
 * @file A TCP proxy on loopback in front of one control machine that delays, throttles, blackholes or resets its links.
 * It does not parse the bytes that it forwards.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import type { Address } from '../../shared/common/address.js';

/** How the proxy forwards bytes. */
export type ProxyMode =
  | { readonly type: 'open' }
  /** Forwards nothing in one or both directions but closes no link; new links are still accepted. */
  | { readonly type: 'silent'; readonly towards: 'machine' | 'others' | 'both' }
  /** Limits the rate of each direction of each link and adds a delay. */
  | { readonly type: 'slow'; readonly bytesPerS: number; readonly delayMs: number };

/** A running proxy in front of one machine. */
export interface LinkProxy {
  setMode(mode: ProxyMode): void;
  /** Closes all open links with a TCP reset. */
  resetAllLinks(): void;
  /** Stops forwarding on the open links for good without closing them; new links work. */
  silenceOpenLinks(): void;
  close(): Promise<void>;
}

const OPEN: ProxyMode = { type: 'open' };
const MS_PER_SECOND = 1_000;
const FORWARD_INTERVAL_MS = 20;
/** Queue limit per direction; above it the proxy stops reading, so that TCP flow control slows the sender. */
const MAX_QUEUED_BYTES = 256 * 1_024;

type Receiver = 'machine' | 'others';

interface QueuedChunk {
  readonly bytes: Buffer;
  readonly receivedAtMs: number;
}

/** One direction of one link. */
interface Pipe {
  readonly from: Socket;
  readonly to: Socket;
  readonly towards: Receiver;
  isSilent: boolean;
  queued: QueuedChunk[];
  queuedBytes: number;
}

/**
 * Starts a proxy in front of a machine.
 * @param listenAddress address that other machines connect to
 * @param target address that the machine itself listens on
 * @returns the proxy; rejects if the address can't be bound
 */
export async function startLinkProxy(listenAddress: Address, target: Address): Promise<LinkProxy> {
  const pipes = new Set<Pipe>();
  let mode: ProxyMode = OPEN;
  const server = createServer((client) => acceptLink(client));
  server.listen(listenAddress.port, listenAddress.host);
  await once(server, 'listening');
  const timer = setInterval(
    () => pipes.forEach((pipe) => forwardQueued(pipe, mode)),
    FORWARD_INTERVAL_MS,
  );

  return { setMode, resetAllLinks, silenceOpenLinks, close };

  function setMode(next: ProxyMode): void {
    mode = next;
    pipes.forEach((pipe) => forwardQueued(pipe, mode));
  }

  function resetAllLinks(): void {
    pipes.forEach(({ from }) => from.resetAndDestroy());
  }

  function silenceOpenLinks(): void {
    pipes.forEach((pipe) => (pipe.isSilent = true));
  }

  async function close(): Promise<void> {
    clearInterval(timer);
    resetAllLinks();
    await closeServer(server);
  }

  function acceptLink(client: Socket): void {
    const upstream = connect(target.port, target.host);
    const linkPipes: Pipe[] = [
      createPipe(client, upstream, 'machine'),
      createPipe(upstream, client, 'others'),
    ];
    linkPipes.forEach((pipe) => pipes.add(pipe));
    for (const socket of [client, upstream]) {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        // The other end of a silenced link must not notice the close.
        if (!linkPipes.some(({ isSilent }) => isSilent)) {
          client.destroy();
          upstream.destroy();
        }
        if (client.destroyed && upstream.destroyed) {
          linkPipes.forEach((pipe) => pipes.delete(pipe));
        }
      });
    }
  }

  function createPipe(from: Socket, to: Socket, towards: Receiver): Pipe {
    const pipe: Pipe = { from, to, towards, isSilent: false, queued: [], queuedBytes: 0 };
    from.on('data', (bytes: Buffer) => {
      pipe.queued.push({ bytes, receivedAtMs: performance.now() });
      pipe.queuedBytes += bytes.length;
      if (pipe.queuedBytes > MAX_QUEUED_BYTES) {
        from.pause();
      }
      if (mode.type === 'open') {
        forwardQueued(pipe, mode);
      }
    });
    return pipe;
  }
}

function forwardQueued(pipe: Pipe, mode: ProxyMode): void {
  let budgetBytes = forwardBudgetBytes(pipe, mode);
  const dueMs = performance.now() - (mode.type === 'slow' ? mode.delayMs : 0);
  for (;;) {
    const [chunk] = pipe.queued;
    if (chunk === undefined || budgetBytes <= 0 || chunk.receivedAtMs > dueMs) {
      break;
    }
    const part = chunk.bytes.subarray(0, budgetBytes);
    pipe.to.write(part);
    budgetBytes -= part.length;
    pipe.queuedBytes -= part.length;
    pipe.queued.shift();
    if (part.length < chunk.bytes.length) {
      pipe.queued.unshift({ ...chunk, bytes: chunk.bytes.subarray(part.length) });
    }
  }
  if (pipe.queuedBytes <= MAX_QUEUED_BYTES && pipe.from.isPaused()) {
    pipe.from.resume();
  }
}

/** @returns the number of bytes to forward at most in this interval */
function forwardBudgetBytes({ towards, isSilent }: Pipe, mode: ProxyMode): number {
  if (isSilent) {
    return 0;
  }
  switch (mode.type) {
    case 'open':
      return Number.POSITIVE_INFINITY;
    case 'silent':
      return mode.towards === 'both' || mode.towards === towards ? 0 : Number.POSITIVE_INFINITY;
    case 'slow':
      return Math.ceil((mode.bytesPerS * FORWARD_INTERVAL_MS) / MS_PER_SECOND);
  }
}

async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => server.close(() => resolve()));
}
