/**
 * @file One health probe of a back end over HTTP.
 */
import type { Backend } from '../control/routing-config.js';
import {
  healthReportSchema,
  loadReportSchema,
  type ProbeResult,
} from '../health/backend-report.js';
import type { ProbeEffect } from '../health/probe-schedule.js';
import { sendJson } from './http-json.js';

/**
 * How long one request of a probe may take, in milliseconds. Not measured; too short if probes of live back ends
 * fail.
 */
const PROBE_TIMEOUT_MS = 1_000;

/**
 * Asks a back end for its health and load. An authoritative probe also sends its identity, and the order to drain where
 * the operators want that.
 * @returns what it reported, undefined for each endpoint that gave no valid answer; never rejects
 */
export async function probeBackend({
  backend,
  isAuthoritative,
}: ProbeEffect): Promise<ProbeResult> {
  if (isAuthoritative && backend.adminState === 'draining') {
    await fetchBody(backend, 'POST', '/drain');
  }
  // The back end learns which one it is, and refuses what a stale configuration sends it.
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
