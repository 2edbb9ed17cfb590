/**
 * @file Sends the HTTP requests of one health probe to a back end.
 */
import type { Backend } from '../control/routing-config.js';
import {
  healthReportSchema,
  loadReportSchema,
  type ProbeResult,
} from '../health/backend-report.js';
import type { ProbeEffect } from '../health/probe-schedule.js';
import { sendJson } from './http-json.js';

/** Timeout of one HTTP request of a probe. */
const PROBE_TIMEOUT_MS = 1_000;

/**
 * Requests the health and load of a back end. An authoritative probe also sends the back end's identity, and a drain
 * request if the back end is to be drained.
 * @returns the reports, undefined for each endpoint without a valid response; never rejects
 */
export async function probeBackend({
  backend,
  isAuthoritative,
}: ProbeEffect): Promise<ProbeResult> {
  if (isAuthoritative && backend.adminState === 'draining') {
    await fetchBody(backend, 'POST', '/drain');
  }
  // With its identity, a back end can reject traffic that is sent under a stale configuration.
  const identity = isAuthoritative ? `?serviceId=${backend.serviceId}&backendId=${backend.id}` : '';
  const [health, load] = await Promise.all([
    fetchBody(backend, 'GET', `/health${identity}`),
    fetchBody(backend, 'GET', '/load'),
  ]);
  return {
    backendId: backend.id,
    health: healthReportSchema.safeParse(health).data,
    load: loadReportSchema.safeParse(load).data,
  };
}

async function fetchBody(backend: Backend, method: 'GET' | 'POST', path: string): Promise<unknown> {
  const to = backend.healthAddress;
  const response = await sendJson({ to, method, path, timeoutMs: PROBE_TIMEOUT_MS });
  return response.match(
    ({ status, body }) => (status === 200 ? body : undefined),
    () => undefined,
  );
}
