/**
 * @file Datagrams between stand-ins and real balancers: a UDP socket for each address that a stand-in takes
 * packets at. A client takes a new port for each flow; of each host the last few sockets stay open.
 */
import { createSocket, type Socket } from 'node:dgram';
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { RandomSource } from '../../shared/common/step.js';
import type { StandInWires } from '../sim-registered/world-parts.js';

/** The sockets of all stand-ins. */
export interface SoakWires extends StandInWires {
  /** Share of datagrams that are lost, of those that stand-ins send. */
  lossShare: number;
  close(): void;
}

/** Late packets of the flows before the current one may still come. */
const MAX_SOCKETS_OF_HOST = 4;

/** @returns wires without any socket */
export function createSoakWires(random: RandomSource): SoakWires {
  const sender = createSocket('udp4');
  sender.on('error', () => undefined);
  const socketsOfHost = new Map<string, Socket[]>();
  let isClosed = false;
  const wires: SoakWires = {
    lossShare: 0,
    onDatagram,
    sendDatagram,
    hostStarted: () => undefined,
    hostDied,
    close,
  };
  return wires;

  function onDatagram(address: Address, handler: (bytes: Uint8Array) => void): void {
    if (isClosed) {
      return;
    }
    const socket = createSocket({ type: 'udp4', reuseAddr: true });
    socket.on('error', (cause) => {
      throw new Error(`No packets can be taken at ${formatAddress(address)}: ${cause.message}`);
    });
    socket.on('message', handler);
    socket.bind(address.port, address.host);
    const sockets = [...(socketsOfHost.get(address.host) ?? []), socket];
    socketsOfHost.set(address.host, sockets.slice(-MAX_SOCKETS_OF_HOST));
    sockets.slice(0, -MAX_SOCKETS_OF_HOST).forEach((old) => old.close());
  }

  function sendDatagram(_fromHost: string, to: Address, bytes: Uint8Array): void {
    if (!isClosed && random.nextFloat() >= wires.lossShare) {
      sender.send(bytes, to.port, to.host);
    }
  }

  function hostDied(host: string): void {
    socketsOfHost.get(host)?.forEach((socket) => socket.close());
    socketsOfHost.delete(host);
  }

  function close(): void {
    isClosed = true;
    [...socketsOfHost.keys()].forEach(hostDied);
    sender.close();
  }
}
