/**
 * @file TCP links that carry MessagePack messages between the system's own processes.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { PackrStream, UnpackrStream } from 'msgpackr';
import type { Address } from '../common/address.js';

const KEEP_ALIVE_MS = 5_000;

/** One end of a link. */
export interface MessageLink {
  send(message: object): void;
  close(): void;
}

/** What the owner of a link wants to hear. */
export interface LinkHandlers {
  onMessage(message: unknown, link: MessageLink): void;
  onClose(link: MessageLink): void;
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
  const encoder = new PackrStream({ useRecords: false });
  const decoder = new UnpackrStream({ useRecords: false });
  const link: MessageLink = {
    send: (message) => {
      if (socket.writable) {
        encoder.write(message);
      }
    },
    close: () => socket.destroy(),
  };
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_MS);
  encoder.pipe(socket);
  socket.pipe(decoder);
  decoder.on('data', (message: unknown) => handlers.onMessage(message, link));
  decoder.on('error', () => socket.destroy());
  socket.on('error', () => socket.destroy());
  socket.on('close', () => handlers.onClose(link));
  return link;
}
