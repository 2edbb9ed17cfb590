/**
 * @file TCP links that carry framed MessagePack messages between balancers and control machines.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import type { Address } from '../../shared/common/address.js';
import { encodeFrame, FrameDecoder } from '../../shared/common/frame-codec.js';
import type { TrafficDirection } from '../dissemination/traffic.js';

/** Idle time before the first TCP keep-alive probe; the protocols on top have shorter timeouts. */
const KEEP_ALIVE_DELAY_MS = 5_000;
/** A link with more unsent bytes than this is closed; the limit leaves room for several large snapshots. */
const MAX_SEND_BUFFER_BYTES = 16 * 1024 * 1024;

/** One end of a link. */
export interface MessageLink {
  send(message: object): void;
  close(): void;
}

/** Callbacks of a link. */
export interface LinkHandlers {
  /** @returns false if the message is invalid, which closes the link */
  onMessage(message: unknown, link: MessageLink): boolean;
  onClose(link: MessageLink): void;
  /** Called for each message; the bytes of messages received together are counted with the first. */
  onTraffic?(direction: TrafficDirection, kind: string, bytes: number): void;
}

/** A server that accepts links. */
export interface LinkServer {
  readonly address: Address;
  close(): Promise<void>;
}

/**
 * Connects to another process.
 * @returns the link, before it is connected; messages sent until then are queued
 */
export function connectLink(to: Address, handlers: LinkHandlers): MessageLink {
  return createLink(connect(to.port, to.host), handlers);
}

/**
 * Starts a server that accepts links.
 * @returns the server; rejects if the address can't be bound
 */
export async function listenForLinks(
  address: Address,
  handlers: LinkHandlers,
): Promise<LinkServer> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    createLink(socket, handlers);
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

function createLink(socket: Socket, handlers: LinkHandlers): MessageLink {
  const decoder = new FrameDecoder();
  const link: MessageLink = {
    send: (message) => {
      if (socket.writableLength > MAX_SEND_BUFFER_BYTES) {
        socket.destroy();
      } else if (socket.writable) {
        const bytes = encodeFrame(message);
        socket.write(bytes);
        handlers.onTraffic?.('sent', messageKind(message), bytes.length);
      }
    },
    close: () => socket.destroy(),
  };
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
  let countedBytes = 0;
  const receive = (message: unknown) => {
    handlers.onTraffic?.('received', messageKind(message), socket.bytesRead - countedBytes);
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

function messageKind(message: unknown): string {
  const hasType = typeof message === 'object' && message !== null && 'type' in message;
  return hasType && typeof message.type === 'string' ? message.type : 'unknown';
}
