/**
 * @file Datagrams between stand-ins and real balancers, with one UDP socket per address of a stand-in. Clients use a new port
 * for each flow, so only the latest sockets of each host stay open.
 */
import { createSocket, type Socket } from 'node:dgram';
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { RandomSource } from '../../shared/common/step.js';
import type { StandInWires } from '../sim-registered/world-parts.js';

/** The sockets of all stand-ins. */
export interface SoakWires extends StandInWires {
  /** Share of the datagrams sent by stand-ins that is dropped, 0 to 1. */
  lossShare: number;
  close(): void;
}

/** More than one, as late packets of earlier flows may still arrive. */
const MAX_SOCKETS_PER_HOST = 4;

/** @returns wires without any receiving socket */
export function createSoakWires(random: RandomSource): SoakWires {
  const sender = createSocket('udp4');
  sender.on('error', () => undefined);
  const socketsByHost = new Map<string, Socket[]>();
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
      throw new Error(`Cannot receive datagrams at ${formatAddress(address)}: ${cause.message}`);
    });
    socket.on('message', handler);
    socket.bind(address.port, address.host);
    const sockets = [...(socketsByHost.get(address.host) ?? []), socket];
    socketsByHost.set(address.host, sockets.slice(-MAX_SOCKETS_PER_HOST));
    sockets.slice(0, -MAX_SOCKETS_PER_HOST).forEach((old) => old.close());
  }

  function sendDatagram(_fromHost: string, to: Address, bytes: Uint8Array): void {
    if (!isClosed && random.nextFloat() >= wires.lossShare) {
      sender.send(bytes, to.port, to.host);
    }
  }

  function hostDied(host: string): void {
    socketsByHost.get(host)?.forEach((socket) => socket.close());
    socketsByHost.delete(host);
  }

  function close(): void {
    isClosed = true;
    [...socketsByHost.keys()].forEach(hostDied);
    sender.close();
  }
}
