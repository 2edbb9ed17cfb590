/**
 * @file The HTTP endpoint for whoever watches a daemon: `/metrics` in the format of Prometheus, and
 * `/health`.
 */
import type { Registry } from 'prom-client';
import type { Address } from '../../common/address.js';
import { respondJson } from '../http-json.js';
import { listenHttp, type HttpServer } from '../http-server.js';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

/** How a daemon is. */
export interface DaemonHealth {
  /** False where nothing new should be sent to it. */
  readonly ready: boolean;
  /** One word, such as `ready` or `stopping`. */
  readonly state: string;
}

/** What is served. */
export interface MetricsSource {
  readonly registry: Registry;
  readonly health: () => DaemonHealth;
}

/**
 * Starts the endpoint.
 * @param address where to listen; undefined starts nothing
 * @returns the endpoint; rejects where the address can't be bound
 */
export async function startMetricsServer(
  address: Address | undefined,
  { registry, health }: MetricsSource,
): Promise<HttpServer | undefined> {
  if (address === undefined) {
    return undefined;
  }
  return listenHttp(address, (request, response) => {
    if (request.url === '/metrics') {
      void registry.metrics().then((text) => {
        response.writeHead(OK, { 'content-type': registry.contentType });
        response.end(text);
      });
    } else if (request.url === '/health') {
      const { ready, state } = health();
      respondJson(response, ready ? OK : UNAVAILABLE, { state });
    } else {
      respondJson(response, NOT_FOUND, { error: 'There are /metrics and /health.' });
    }
  });
}
