/**
 * @file An HTTP or HTTPS server bound to one address.
 */
import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import { createServer as createServerWithTls } from 'node:https';
import type { AddressInfo } from 'node:net';
import type { Address } from '../common/address.js';

/** A listening HTTP server. */
export interface HttpServer {
  readonly address: Address;
  close(): Promise<void>;
}

/** A certificate and its private key, both in PEM. */
export interface TlsIdentity {
  readonly cert: string;
  readonly key: string;
}

/**
 * Listens for HTTP requests.
 * @param tls certificate for HTTPS; plain HTTP without it
 * @returns the server; rejects if the address can't be bound or the certificate is invalid
 */
export async function listenHttp(
  address: Address,
  listener: RequestListener,
  tls?: TlsIdentity,
): Promise<HttpServer> {
  const server =
    tls === undefined ? createServer(listener) : createServerWithTls({ ...tls }, listener);
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
