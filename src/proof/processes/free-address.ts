/**
 * @file Free addresses on loopback, for processes that must know each other's before they start.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import type { Address } from '../../shared/common/address.js';

const LOOPBACK = '127.0.0.1';

/**
 * @returns an address whose TCP port was free just now
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
