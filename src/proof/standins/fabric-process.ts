/**
 * @file Runs the stand-in fabric with a UDP socket for each service address, one for balancers and back
 * ends, and an HTTP endpoint that sets the list of balancers (`POST /balancers`).
 */
import { z } from 'zod';
import { addressSchema } from '../../shared/common/address-schema.js';
import { formatAddress, type Address } from '../../shared/common/address.js';
import { readJsonBody } from '../../managed/daemon/http-json.js';
import { respondJson } from '../../shared/daemon/json-response.js';
import { listenHttp } from '../../shared/daemon/http-server.js';
import { systemContextSource } from '../../shared/daemon/system-context.js';
import { bindUdp, type UdpSocket } from '../../shared/daemon/udp-socket.js';
import {
  createFabricState,
  fabricStep,
  type FabricEffect,
  type FabricEvent,
  type FabricOptions,
} from './fabric-step.js';

const balancerListSchema = z.array(z.strictObject({ address: addressSchema, zone: z.string() }));

/** A running fabric. */
export interface FabricProcess {
  /** Bound service addresses, in the order of the request. */
  readonly serviceAddresses: readonly Address[];
  /** UDP address to which balancers and back ends send answers. */
  readonly returnAddress: Address;
  /** HTTP address for `POST /balancers`. */
  readonly platformAddress: Address;
  stop(): Promise<void>;
}

/**
 * Starts a fabric.
 * @param serviceAddresses one for each service; with port 0 the system chooses the port
 */
export async function startFabric(
  options: FabricOptions,
  serviceAddresses: readonly Address[],
): Promise<FabricProcess> {
  const state = createFabricState(options);
  const contexts = systemContextSource();
  const serviceSockets = new Map<string, UdpSocket>();
  const step = (event: FabricEvent): void => {
    for (const effect of fabricStep(state, event, contexts.now())) {
      performAfterDelay(effect, serviceSockets, returnSocket);
    }
  };
  const anyPort = { host: serviceAddresses[0]?.host ?? '127.0.0.1', port: 0 };
  const returnSocket: UdpSocket = await bindUdp(anyPort, (datagram) =>
    step({ type: 'return-datagram', datagram }),
  );
  for (const requestedAddress of serviceAddresses) {
    const socket: UdpSocket = await bindUdp(requestedAddress, (packet, client) =>
      step({ type: 'caller-packet', packet, client, service: socket.address }),
    );
    serviceSockets.set(formatAddress(socket.address), socket);
  }
  const http = await listenHttp(anyPort, (incoming, response) => {
    void readJsonBody(incoming).then((body) => {
      const event = eventFrom(incoming.url, body.unwrapOr(undefined));
      if (event === undefined) {
        respondJson(response, 400, { error: 'Expected a JSON array of balancers at /balancers.' });
        return;
      }
      step(event);
      respondJson(response, 200, {});
    });
  });
  return {
    serviceAddresses: [...serviceSockets.values()].map((socket) => socket.address),
    returnAddress: returnSocket.address,
    platformAddress: http.address,
    stop: async () => {
      const sockets = [returnSocket, ...serviceSockets.values()];
      await Promise.all([http.close(), ...sockets.map((socket) => socket.close())]);
    },
  };
}

function eventFrom(path: string | undefined, body: unknown): FabricEvent | undefined {
  const balancers = balancerListSchema.safeParse(body).data;
  return path === '/balancers' && balancers !== undefined ? { type: 'list', balancers } : undefined;
}

function performAfterDelay(
  effect: FabricEffect,
  serviceSockets: Map<string, UdpSocket>,
  returnSocket: UdpSocket,
): void {
  setTimeout(() => {
    if (effect.type === 'to-balancer') {
      returnSocket.send(effect.datagram, effect.to);
    } else {
      serviceSockets.get(formatAddress(effect.service))?.send(effect.packet, effect.client);
    }
  }, effect.delayMs);
}
