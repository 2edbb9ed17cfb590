/**
 * @file What a running cluster says of itself: which balancers have which configuration in force, and
 * what its back ends hold and ran.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';
import { sendJson } from '../daemon/http-json.js';
import { loadReportSchema, type LoadReport } from '../health/backend-report.js';
import type { Cluster, ClusterBackend, ClusterControl } from './cluster.js';
import type { BackendRuns } from './harm-summary.js';

const HTTP_TIMEOUT_MS = 2_000;
const POLL_INTERVAL_MS = 50;

const statusSchema = z.object({
  nodeId: z.string(),
  role: z.string(),
  commitIndex: z.number(),
  members: z.array(
    z.object({ nodeId: z.string(), role: z.string(), matchIndex: z.number().optional() }),
  ),
  waiting: z.array(z.object({ nodeId: z.string() })),
  balancers: z.array(z.object({ balancerId: z.string(), index: z.number() })),
});

/** What one control machine says of the cluster. */
export type ControlMachineStatus = z.infer<typeof statusSchema>;

/**
 * @returns the status of a control machine, or undefined where it gave none
 */
export async function readControlStatus(
  cluster: Cluster,
  control: ClusterControl,
): Promise<ControlMachineStatus | undefined> {
  const { adminToken } = cluster.options.settings.control.control;
  const response = await sendJson({
    to: control.operatorAddress,
    method: 'GET',
    path: '/v1/members',
    bearerToken: adminToken,
    timeoutMs: HTTP_TIMEOUT_MS,
  });
  return response.map(({ body }) => statusSchema.safeParse(body).data).unwrapOr(undefined);
}

/**
 * @returns the lowest configuration index in force on the balancers that are up; 0 where one of them
 *   is linked to no control machine
 */
export async function indexInForce(cluster: Cluster): Promise<number> {
  const up = cluster.controls.filter((control) => control.isUp);
  const statuses = await Promise.all(up.map((control) => readControlStatus(cluster, control)));
  const linked = statuses.flatMap((status) => status?.balancers ?? []);
  const indexes = cluster.balancers
    .filter((balancer) => balancer.isUp)
    .map(({ nodeId }) =>
      Math.max(0, ...linked.filter((one) => one.balancerId === nodeId).map((one) => one.index)),
    );
  return Math.min(...indexes);
}

/**
 * Waits until a configuration is in force on all balancers that are up.
 * @returns true where it is, false where the time was up before
 */
export async function waitUntilInForce(
  cluster: Cluster,
  index: number,
  timeoutMs: number,
): Promise<boolean> {
  const endsAt = performance.now() + timeoutMs;
  while (performance.now() < endsAt) {
    if ((await indexInForce(cluster)) >= index) {
      return true;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  return false;
}

/**
 * @returns the load report of a back end, or undefined where it gave none
 */
export async function readLoad(backend: ClusterBackend): Promise<LoadReport | undefined> {
  const to = backend.healthAddress;
  const response = await sendJson({
    to,
    method: 'GET',
    path: '/load',
    timeoutMs: HTTP_TIMEOUT_MS,
  });
  return response.map(({ body }) => loadReportSchema.safeParse(body).data).unwrapOr(undefined);
}

/**
 * @returns what each back end ran; throws where one does not tell, since the oracle needs all
 */
export async function collectRuns(cluster: Cluster): Promise<BackendRuns[]> {
  const reports = cluster.backends.map(async ({ name, healthAddress: to }) => {
    const response = await sendJson({
      to,
      method: 'GET',
      path: '/runs',
      timeoutMs: HTTP_TIMEOUT_MS,
    });
    return response.match(
      ({ body }) => body as BackendRuns,
      (error) => {
        throw new Error(`${name}: ${error.message}`);
      },
    );
  });
  return Promise.all(reports);
}
