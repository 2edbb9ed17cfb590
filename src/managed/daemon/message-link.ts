/**
 * @file TCP links that carry MessagePack messages between the system's own processes.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import type { Address } from '../../shared/common/address.js';
import { encodeFrame, FrameDecoder } from '../../shared/common/frame-codec.js';
import type { TrafficDirection } from '../dissemination/traffic.js';

/**
 * When TCP begins to check a link that is idle, in milliseconds. Not measured; the protocol above has shorter limits
 * of its own.
 */
const KEEP_ALIVE_MS = 5_000;
/**
 * A link whose other end leaves more than this unread is closed, and its owner opens it again. A snapshot of 9,000
 * back ends is 2.99 MB.
 */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/** One end of a link. */
export interface MessageLink {
  send(message: object): void;
  close(): void;
}

/** What the owner of a link handles. */
export interface LinkHandlers {
  /** @returns false where the message is not one that belongs here; the link is closed then */
  onMessage(message: unknown, link: MessageLink): boolean;
  onClose(link: MessageLink): void;
  /** Counts a message with its bytes; of messages that come at once, the first counts them all. */
  onTraffic?(direction: TrafficDirection, kind: string, bytes: number): void;
}

/** A listening socket for links. */
export interface LinkServer {
  readonly address: Address;
  close(): Promise<void>;
}

/**
 * Connects to a process.
 * @returns the link at once; messages sent before the connection stands are queued
 */
export function connectLink(to: Address, handlers: LinkHandlers): MessageLink {
  return wrapLink(connect(to.port, to.host), handlers);
}

/**
 * Listens for links.
 * @returns the server; rejects where the address can't be bound
 */
export async function listenForLinks(
  address: Address,
  handlers: LinkHandlers,
): Promise<LinkServer> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    wrapLink(socket, handlers);
  });
  server.listen(address.port, address.host);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return { address: { host: address.host, port }, close: () => closeServer(server, sockets) };
}

async function closeServer(server: Server, sockets: Set<Socket>): Promise<void> {
  sockets.forEach((socket) => socket.destroy());
  await new Promise<void>((resolve) => server.close(() => resolve()));
}

function wrapLink(socket: Socket, handlers: LinkHandlers): MessageLink {
  const decoder = new FrameDecoder();
  const link: MessageLink = {
    send: (message) => {
      if (socket.writableLength > MAX_UNSENT_BYTES) {
        socket.destroy();
      } else if (socket.writable) {
        const bytes = encodeFrame(message);
        socket.write(bytes);
        handlers.onTraffic?.('sent', kindOf(message), bytes.length);
      }
    },
    close: () => socket.destroy(),
  };
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_MS);
  let countedBytes = 0;
  const receive = (message: unknown) => {
    handlers.onTraffic?.('received', kindOf(message), socket.bytesRead - countedBytes);
    countedBytes = socket.bytesRead;
    return handlers.onMessage(message, link);
  };
  socket.on('data', (chunk) => {
    const decoded = decoder.push(chunk);
    if (decoded.type === 'malformed' || !decoded.messages.every(receive)) {
      socket.destroy();
    }
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => handlers.onClose(link));
  return link;
}

function kindOf(message: unknown): string {
  const hasType = typeof message === 'object' && message !== null && 'type' in message;
  return hasType && typeof message.type === 'string' ? message.type : 'unknown';
}
