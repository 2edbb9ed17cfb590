/**
 * @file When is a TCP link given up?
 *
 * Inputs: when bytes last came and were last sent (ms on the monotonic clock), bytes that wait to be sent, and the times of
 * `group/timing.ts`.
 *
 * Each end sends a pulse when it has sent nothing for a while, and closes a link that has brought nothing for
 * `silentAfterMs`, that does not stand within `connectTimeoutMs`, or that brings what doesn't belong there. A cut of the
 * network says nothing, and without this a link would hang for minutes. A message for a link on which too much waits is
 * dropped: the protocols above send again.
 *
 * Owns all links of a process, dialed and accepted, and the timer of their pulses. Who dials again, and when, is decided by
 * `shared/common/outbound-links.ts` and `decisions/feed-source.ts`.
 */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { Address } from '../../shared/common/address.js';
import { encodeFrame, FrameDecoder, keepAliveFrame } from '../../shared/common/frame-codec.js';
import type { Timing } from '../group/timing.js';

/** Times and bounds of links. */
export interface FrameLinkOptions {
  /** Time between two pulses, in milliseconds. */
  readonly pulseIntervalMs: number;
  /** A link that brings nothing for so long is closed, in milliseconds. */
  readonly silentAfterMs: number;
  /** A connection that does not stand after so long is given up, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** What waits to be sent beyond this is dropped, in bytes. */
  readonly maxUnsentBytes: number;
}

/**
 * Feeds never come near it: bounded messages leave some 20 KB under way to each balancer (docs/design/links.md). Not measured otherwise; memory that grows with the number of
 * links whose other end reads nothing would show it too large.
 */
const MAX_UNSENT_BYTES = 4 * 1024 * 1024;

/**
 * @returns the options of links with these times
 */
export function frameLinkOptions({ links }: Timing): FrameLinkOptions {
  return { ...links, maxUnsentBytes: MAX_UNSENT_BYTES };
}

/** One end of a link. */
export interface FrameLink {
  /**
   * Sends a message; drops it where too much waits already.
   * @returns how many bytes it takes; 0 where it was dropped
   */
  send(message: object): number;
  /** Sends a message that is encoded already; the same in all else. */
  sendFrame(frame: Buffer): number;
  close(): void;
}

/** What the owner of links is called back with. */
export interface FrameLinkHandlers {
  /** @returns false where the message is not one that belongs here; the link is closed then */
  onMessage(message: unknown, link: FrameLink): boolean;
  /** Some of a message has come, and more is to come. */
  onProgress?(link: FrameLink): void;
  onClose(link: FrameLink, reason: string): void;
}

interface OpenLink extends FrameLink {
  readonly socket: Socket;
  /** Closes the link; `onClose` gets the reason. */
  giveUp(reason: string): void;
  receivedAtMs: number;
  sentAtMs: number;
}

/** All links of a process, with one timer for their pulses. */
export class FrameLinks {
  private readonly links = new Set<OpenLink>();
  private readonly servers = new Set<Server>();
  private readonly timer: NodeJS.Timeout;
  /** Links that were closed since they brought what did not belong there. */
  malformedLinks = 0;

  /**
   * @param dial opens a connection; tests give one that never stands
   */
  constructor(
    private readonly options: FrameLinkOptions,
    private readonly dial: (to: Address) => Socket = ({ port, host }) => connect(port, host),
  ) {
    this.timer = setInterval(() => this.keepAlive(), options.pulseIntervalMs);
    this.timer.unref();
  }

  /**
   * Connects to a process. A machine that is off says nothing, and the system tries again only after a
   * second or more, so a connection that does not stand soon is given up.
   * @returns the link at once; messages sent before the connection stands are queued
   */
  connect(to: Address, handlers: FrameLinkHandlers): FrameLink {
    const socket = this.dial(to);
    const { connectTimeoutMs } = this.options;
    const link = this.wrap(socket, handlers);
    const giveUp = setTimeout(
      () => link.giveUp(`No connection within ${connectTimeoutMs} ms.`),
      connectTimeoutMs,
    );
    socket.once('connect', () => clearTimeout(giveUp));
    socket.once('close', () => clearTimeout(giveUp));
    return link;
  }

  /**
   * Listens for links.
   * @returns the address; rejects where it can't be bound
   */
  async listen(address: Address, handlers: FrameLinkHandlers): Promise<Address> {
    const server = createServer((socket) => this.wrap(socket, handlers));
    server.listen(address.port, address.host);
    await once(server, 'listening');
    // After this only accepting can fail, as without descriptors: the caller dials again, and a line for each try of each
    // caller would be a flood.
    server.on('error', () => undefined);
    this.servers.add(server);
    const { port } = server.address() as AddressInfo;
    return { host: address.host, port };
  }

  /** Closes everything. */
  close(): void {
    clearInterval(this.timer);
    this.servers.forEach((server) => server.close());
    this.links.forEach(({ socket }) => socket.destroy());
  }

  private wrap(socket: Socket, handlers: FrameLinkHandlers): OpenLink {
    const now = performance.now();
    const decoder = new FrameDecoder();
    let reason = 'The other end closed the link.';
    const link: OpenLink = {
      socket,
      receivedAtMs: now,
      sentAtMs: now,
      send: (message) => this.sendFrame(link, encodeFrame(message)),
      sendFrame: (frame) => this.sendFrame(link, frame),
      close: () => link.giveUp('Closed here.'),
      giveUp: (cause) => {
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
      this.refuse(link, decoded.reason);
      return;
    }
    const isFit = decoded.messages.every((message) => handlers.onMessage(message, link));
    if (!isFit) {
      this.refuse(link, 'A message does not belong here.');
    } else if (decoder.isInsideFrame) {
      handlers.onProgress?.(link);
    }
  }

  private refuse(link: OpenLink, reason: string): void {
    this.malformedLinks += 1;
    link.giveUp(reason);
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

  private keepAlive(): void {
    const now = performance.now();
    for (const link of this.links) {
      if (now - link.receivedAtMs > this.options.silentAfterMs) {
        link.giveUp(`Nothing came for ${this.options.silentAfterMs} ms.`);
      } else if (now - link.sentAtMs >= this.options.pulseIntervalMs / 2 && link.socket.writable) {
        link.sentAtMs = now;
        link.socket.write(keepAliveFrame);
      }
    }
  }
}
