/**
 * @file HTTP server of a daemon for `/metrics` and `/health`.
 */
import type { Address } from '../../../shared/common/address.js';
import { listenHttp, type HttpServer } from '../../../shared/daemon/http-server.js';
import {
  createMetricsListener,
  type MetricsSource,
} from '../../../shared/daemon/metrics/metrics-listener.js';

/**
 * Starts the server.
 * @param address the listen address; undefined disables the server
 * @returns the server, or undefined without an address; rejects if the address can't be bound
 */
export async function startMetricsServer(
  address: Address | undefined,
  source: MetricsSource,
): Promise<HttpServer | undefined> {
  return address === undefined
    ? undefined
    : listenHttp(
        address,
        createMetricsListener(() => Promise.resolve(source)),
      );
}
