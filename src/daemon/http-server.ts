/**
 * @file An HTTP server bound to one address.
 */
import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Address } from '../common/address.js';

/** A listening HTTP server. */
export interface HttpServer {
  readonly address: Address;
  close(): Promise<void>;
}

/**
 * Listens for HTTP requests.
 * @returns the server; rejects where the address can't be bound
 */
export async function listenHttp(address: Address, listener: RequestListener): Promise<HttpServer> {
  const server = createServer(listener);
  server.listen(address.port, address.host);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    address: { host: address.host, port },
    close: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
