/**
 * @file Finds free loopback addresses for processes that need the addresses of others at startup.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import type { Address } from '../../shared/common/address.js';

const LOOPBACK = '127.0.0.1';

/**
 * @returns an address whose TCP port is currently free; another process may take it first
 */
export async function findFreeAddress(): Promise<Address> {
  const server = createServer();
  server.listen(0, LOOPBACK);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return { host: LOOPBACK, port };
}
