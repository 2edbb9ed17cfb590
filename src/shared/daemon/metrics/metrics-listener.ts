/**
 * @file HTTP endpoints for monitoring a daemon: `/metrics` in the Prometheus text format, and `/health`.
 */
import type { RequestListener, ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';
import { respondJson } from '../json-response.js';

const OK = 200;
const NOT_FOUND = 404;
const FAILED = 500;
const UNAVAILABLE = 503;

/** Health of a daemon. */
export interface DaemonHealth {
  /** False if no new work should be sent to the daemon. */
  readonly ready: boolean;
  /** Short state name such as `ready` or `stopping`. */
  readonly state: string;
}

/** The metrics and the health of a daemon. */
export interface MetricsSource {
  readonly registry: Registry;
  readonly health: () => DaemonHealth;
}

/**
 * Loads the metrics lazily, since they cost memory and startup time.
 * @param load called once, on the first request
 * @returns the listener of an HTTP server
 */
export function createMetricsListener(load: () => Promise<MetricsSource>): RequestListener {
  let loaded: Promise<MetricsSource> | undefined;

  return (request, response) => {
    loaded ??= load();
    loaded
      .then((source) => respond(source, request.url ?? '', response))
      .catch((cause: unknown) => respondJson(response, FAILED, { error: String(cause) }));
  };
}

async function respond(
  { registry, health }: MetricsSource,
  url: string,
  response: ServerResponse,
): Promise<void> {
  if (url === '/metrics') {
    const text = await registry.metrics();
    response.writeHead(OK, { 'content-type': registry.contentType });
    response.end(text);
  } else if (url === '/health') {
    const { ready, state } = health();
    respondJson(response, ready ? OK : UNAVAILABLE, { state });
  } else {
    respondJson(response, NOT_FOUND, {
      error: 'Unknown path; available are /metrics and /health.',
    });
  }
}
