/**
 * @file The HTTP endpoint of a daemon for `/metrics` and its health.
 */
import type { Address } from '../../../shared/common/address.js';
import { listenHttp, type HttpServer } from '../../../shared/daemon/http-server.js';
import {
  createMetricsListener,
  type MetricsSource,
} from '../../../shared/daemon/metrics/metrics-listener.js';

/**
 * Starts the endpoint.
 * @param address where to listen; undefined starts nothing
 * @returns the endpoint; rejects where the address can't be bound
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
