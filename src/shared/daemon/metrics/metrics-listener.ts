/**
 * @file The HTTP interface for monitoring a daemon: `/metrics` in the format of Prometheus, and `/health`.
 */
import type { RequestListener, ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';
import { respondJson } from '../json-response.js';

const OK = 200;
const NOT_FOUND = 404;
const FAILED = 500;
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
 * Metrics cost memory and time at the start, so a process that may never be asked loads them late.
 * @param load called once, at the first request
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
    respondJson(response, NOT_FOUND, { error: 'There are /metrics and /health.' });
  }
}
