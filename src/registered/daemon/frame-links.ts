/**
 * @file TCP links that carry frames, with keep-alives. A link is closed if nothing is received for
 * `silentAfterMs`, if the connection is not established within `connectTimeoutMs`, or on an unexpected message; TCP
 * alone would notice a network partition only after minutes.
 *
 * Messages are dropped while too many bytes are queued: the protocols above retransmit. Reconnecting is left to
 * `shared/common/outbound-links.ts` and `decisions/feed-source.ts`.
 */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { Address } from '../../shared/common/address.js';
import { encodeFrame, FrameDecoder, keepAliveFrame } from '../../shared/common/frame-codec.js';
import type { Timing } from '../group/timing.js';

/** Timeouts and limits of links. */
export interface FrameLinkOptions {
  /** Interval of keep-alives, in milliseconds. */
  readonly keepAliveIntervalMs: number;
  /** A link on which nothing is received for this time is closed, in milliseconds. */
  readonly silentAfterMs: number;
  /** Time limit for establishing a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Messages are dropped while more bytes than this are queued. */
  readonly maxUnsentBytes: number;
}

/** Bounds the memory per link whose peer does not read; far above the unacknowledged bytes of a feed. */
const MAX_UNSENT_BYTES = 4 * 1024 * 1024;

/** @returns the link options for a timing */
export function frameLinkOptions({ links }: Timing): FrameLinkOptions {
  return { ...links, maxUnsentBytes: MAX_UNSENT_BYTES };
}

/** Local end of a link. */
export interface FrameLink {
  /**
   * Sends a message; drops it if too many bytes are queued.
   * @returns the size of the frame in bytes; 0 if it was dropped
   */
  send(message: object): number;
  /** Like `send`, for a message that is already encoded. */
  sendFrame(frame: Buffer): number;
  close(): void;
  /** True until the connection is established. */
  readonly isConnecting: boolean;
}

/** Callbacks of a link. */
export interface FrameLinkHandlers {
  /** Called when a link has been accepted. */
  onOpen?(link: FrameLink): void;
  /** @returns false for an unexpected message; the link is then closed */
  onMessage(message: unknown, link: FrameLink): boolean;
  /** Called when part of a message has arrived. */
  onProgress?(link: FrameLink): void;
  onClose(link: FrameLink, reason: string): void;
}

/** Limits of a listener. */
export interface ListenLimits {
  /** Further connections are closed at once. */
  readonly maxLinks?: number;
  /** A link with a longer message is closed, in bytes. */
  readonly maxFrameBytes?: number;
}

interface OpenLink extends FrameLink {
  readonly socket: Socket;
  /** Closes the link; `onClose` receives the reason. */
  abort(reason: string): void;
  receivedAtMs: number;
  sentAtMs: number;
}

/** All links of a process, dialed and accepted, with one timer for keep-alives and timeouts. */
export class FrameLinks {
  private readonly links = new Set<OpenLink>();
  private readonly servers = new Set<Server>();
  private readonly timer: NodeJS.Timeout;
  /** Number of links closed because of a malformed frame or an unexpected message. */
  malformedLinks = 0;

  /**
   * @param dial opens a connection; replaced in tests
   */
  constructor(
    private readonly options: FrameLinkOptions,
    private readonly dial: (to: Address) => Socket = ({ port, host }) => connect(port, host),
  ) {
    this.timer = setInterval(() => this.checkLinks(), options.keepAliveIntervalMs);
    this.timer.unref();
  }

  /**
   * Connects to a process. The connect timeout is needed since an unreachable host does not answer, and the kernel
   * retransmits the SYN only after a second.
   * @returns the link; messages sent before the connection is established are queued
   */
  connect(to: Address, handlers: FrameLinkHandlers): FrameLink {
    const socket = this.dial(to);
    const { connectTimeoutMs } = this.options;
    const link = this.wrap(socket, handlers);
    const giveUp = setTimeout(
      () => link.abort(`connection not established within ${connectTimeoutMs} ms`),
      connectTimeoutMs,
    );
    socket.once('connect', () => clearTimeout(giveUp));
    socket.once('close', () => clearTimeout(giveUp));
    return link;
  }

  /**
   * Listens for links.
   * @returns the bound address; rejects if it can't be bound
   */
  async listen(
    address: Address,
    handlers: FrameLinkHandlers,
    { maxLinks, maxFrameBytes }: ListenLimits = {},
  ): Promise<Address> {
    const server = createServer((socket) => {
      const link = this.wrap(socket, handlers, maxFrameBytes);
      handlers.onOpen?.(link);
    });
    if (maxLinks !== undefined) {
      server.maxConnections = maxLinks;
    }
    server.listen(address.port, address.host);
    await once(server, 'listening');
    // From here on only accept can fail, for example without file descriptors. Peers retry, and logging each attempt would
    // flood the log.
    server.on('error', () => undefined);
    this.servers.add(server);
    const { port } = server.address() as AddressInfo;
    return { host: address.host, port };
  }

  /** Closes all links and servers. */
  close(): void {
    clearInterval(this.timer);
    this.servers.forEach((server) => server.close());
    this.links.forEach(({ socket }) => socket.destroy());
  }

  private wrap(socket: Socket, handlers: FrameLinkHandlers, maxFrameBytes?: number): OpenLink {
    const now = performance.now();
    const decoder = new FrameDecoder(maxFrameBytes);
    let reason = 'closed by peer';
    const link: OpenLink = {
      socket,
      receivedAtMs: now,
      sentAtMs: now,
      send: (message) => this.sendFrame(link, encodeFrame(message)),
      sendFrame: (frame) => this.sendFrame(link, frame),
      close: () => link.abort('closed locally'),
      get isConnecting() {
        return socket.connecting;
      },
      abort: (cause) => {
        reason = cause;
        socket.destroy();
      },
    };
    this.links.add(link);
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.read(chunk, decoder, link, handlers));
    socket.on('error', (cause) => {
      reason = cause.message;
    });
    socket.on('close', () => {
      this.links.delete(link);
      handlers.onClose(link, reason);
    });
    return link;
  }

  private read(
    chunk: Buffer,
    decoder: FrameDecoder,
    link: OpenLink,
    handlers: FrameLinkHandlers,
  ): void {
    link.receivedAtMs = performance.now();
    const decoded = decoder.push(chunk);
    if (decoded.type === 'malformed') {
      this.closeMalformed(link, decoded.reason);
      return;
    }
    const areAccepted = decoded.messages.every((message) => handlers.onMessage(message, link));
    if (!areAccepted) {
      this.closeMalformed(link, 'unexpected message');
    } else if (decoder.isInsideFrame) {
      handlers.onProgress?.(link);
    }
  }

  private closeMalformed(link: OpenLink, reason: string): void {
    this.malformedLinks += 1;
    link.abort(reason);
  }

  private sendFrame(link: OpenLink, frame: Buffer): number {
    const { socket } = link;
    if (socket.writableLength > this.options.maxUnsentBytes) {
      return 0;
    }
    if (!socket.writable) {
      return 0;
    }
    link.sentAtMs = performance.now();
    socket.write(frame);
    return frame.length;
  }

  private checkLinks(): void {
    const now = performance.now();
    for (const link of this.links) {
      if (now - link.receivedAtMs > this.options.silentAfterMs) {
        link.abort(`no data received for ${this.options.silentAfterMs} ms`);
      } else if (
        now - link.sentAtMs >= this.options.keepAliveIntervalMs / 2 &&
        link.socket.writable
      ) {
        link.sentAtMs = now;
        link.socket.write(keepAliveFrame);
      }
    }
  }
}
