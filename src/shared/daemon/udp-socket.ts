/**
 * @file A UDP socket bound to one address.
 */
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { isIPv4 } from 'node:net';
import type { Address } from '../common/address.js';

const IPV4_FAMILY = 4;
const IPV6_FAMILY = 6;
/**
 * What the system may hold for a process that is busy or paused, in bytes; the system may grant less. Not measured;
 * datagrams that the system counts as dropped would show it too small.
 */
const BUFFER_BYTES = 4 * 1024 * 1024;

/** A bound UDP socket. */
export interface UdpSocket {
  /** The address that it is bound to, with the port that the system chose. */
  readonly address: Address;
  send(datagram: Uint8Array, to: Address): void;
  close(): Promise<void>;
}

/**
 * Binds a socket.
 * @param address where to bind; port 0 lets the system choose
 * @param onDatagram called for each datagram with its sender
 * @returns the socket; rejects where the address can't be bound
 */
export async function bindUdp(
  address: Address,
  onDatagram: (datagram: Buffer, from: Address) => void,
): Promise<UdpSocket> {
  // Asking for IPv6 costs 8 ms at its first call, which a process that starts can't spare.
  const type = isIPv4(address.host) ? 'udp4' : 'udp6';
  const socket = createSocket({
    type,
    lookup: numberLookup(type === 'udp6' ? IPV6_FAMILY : IPV4_FAMILY),
    recvBufferSize: BUFFER_BYTES,
    sendBufferSize: BUFFER_BYTES,
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

/**
 * An address is always an IP number here; the resolver would hand it back one turn later, at a cost
 * for each datagram.
 */
function numberLookup(family: number) {
  return (
    host: string,
    _options: object,
    callback: (error: null, host: string, family: number) => void,
  ): void => {
    callback(null, host, family);
  };
}

/** A datagram that can't be sent is a lost datagram; its sender retransmits. */
function ignoreSendError(): void {
  return undefined;
}
