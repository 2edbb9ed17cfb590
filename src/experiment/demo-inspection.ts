/**
 * @file What the demo reads from its back ends: imbalance, and what they ran.
 */
import { sendJson } from '../daemon/http-json.js';
import { DEMO_SERVICES, type DemoBackend, type DemoCluster } from './demo-cluster.js';
import type { BackendRuns } from './harm-summary.js';

const HTTP_TIMEOUT_MS = 2_000;

/**
 * @returns highest over mean connections of a service's back ends, the worst service counting
 */
export async function connectionImbalance(cluster: DemoCluster): Promise<number> {
  const ratios: number[] = [];
  for (const service of DEMO_SERVICES) {
    const members = cluster.backends.filter((backend) => backend.service === service);
    const loads = await Promise.all(members.map((backend) => readJson(backend, '/load')));
    const connections = loads.map((load) => (load as { connections: number }).connections);
    const mean = connections.reduce((sum, count) => sum + count, 0) / connections.length;
    ratios.push(Math.max(...connections) / mean);
  }
  return Math.max(...ratios);
}

/**
 * @returns what each back end ran
 */
export async function collectRuns(cluster: DemoCluster): Promise<BackendRuns[]> {
  const reports = await Promise.all(cluster.backends.map((backend) => readJson(backend, '/runs')));
  return reports as BackendRuns[];
}

async function readJson(backend: DemoBackend, path: string): Promise<unknown> {
  const to = backend.healthAddress;
  const response = await sendJson({ to, method: 'GET', path, timeoutMs: HTTP_TIMEOUT_MS });
  return response.match(
    ({ body }) => body,
    (error) => {
      throw new Error(`${backend.process.name}: ${error.message}`);
    },
  );
}
