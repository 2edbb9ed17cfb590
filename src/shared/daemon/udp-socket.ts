/**
 * @file A UDP socket bound to one address.
 */
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { isIPv4 } from 'node:net';
import type { Address } from '../common/address.js';

const IPV4_FAMILY = 4;
const IPV6_FAMILY = 6;
/** Requested kernel buffer size, for bursts while the process is busy; the system may grant less. */
const SOCKET_BUFFER_BYTES = 4 * 1024 * 1024;

/** A bound UDP socket. */
export interface UdpSocket {
  /** The bound address, with the actual port. */
  readonly address: Address;
  send(datagram: Uint8Array, to: Address): void;
  close(): Promise<void>;
}

/**
 * Binds a socket.
 * @param address where to bind; with port 0 the system chooses the port
 * @param onDatagram called with each datagram and its sender
 * @returns the socket; rejects if the address can't be bound
 */
export async function bindUdp(
  address: Address,
  onDatagram: (datagram: Buffer, from: Address) => void,
): Promise<UdpSocket> {
  // `isIPv6` is slow on its first call, which would delay the start.
  const type = isIPv4(address.host) ? 'udp4' : 'udp6';
  const socket = createSocket({
    type,
    lookup: ipLiteralLookup(type === 'udp6' ? IPV6_FAMILY : IPV4_FAMILY),
    recvBufferSize: SOCKET_BUFFER_BYTES,
    sendBufferSize: SOCKET_BUFFER_BYTES,
  });
  socket.on('message', (datagram, sender) =>
    onDatagram(datagram, { host: sender.address, port: sender.port }),
  );
  const listening = once(socket, 'listening');
  socket.bind(address.port, address.host);
  await listening;
  socket.on('error', ignoreSendError);
  return wrapSocket(socket, address.host);
}

function wrapSocket(socket: Socket, host: string): UdpSocket {
  let closed = false;
  return {
    address: { host, port: socket.address().port },
    send: (datagram, to) => {
      if (!closed) {
        socket.send(datagram, to.port, to.host);
      }
    },
    close: async () => {
      closed = true;
      await new Promise<void>((resolve) => socket.close(() => resolve()));
    },
  };
}

/** Replaces the resolver, which would defer each datagram by a tick: destinations are always IP literals. */
function ipLiteralLookup(family: number) {
  return (
    host: string,
    _options: object,
    callback: (error: null, host: string, family: number) => void,
  ): void => {
    callback(null, host, family);
  };
}

/** An unsendable datagram is treated as lost; the sender retransmits. */
function ignoreSendError(): void {
  return undefined;
}
