/**
 * @file What a running cluster says of itself: which balancers have which configuration in force, and
 * what its back ends hold and ran.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';
import { sendJson } from '../../managed/daemon/http-json.js';
import { loadReportSchema, type LoadReport } from '../../managed/health/backend-report.js';
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

/** How far an operator's configuration should have come. */
export interface OperatorRevision {
  readonly operator: string;
  readonly revision: number;
}

/**
 * @returns the revisions with which some back ends came, the highest of each operator
 */
export function revisionsOf(backends: readonly ClusterBackend[]): OperatorRevision[] {
  const highest = new Map<string, number>();
  for (const { service, addedInRevision } of backends) {
    const known = highest.get(service.operator) ?? 0;
    highest.set(service.operator, Math.max(known, addedInRevision));
  }
  return [...highest].map(([operator, revision]) => ({ operator, revision }));
}

/**
 * Waits until a configuration is in force on all balancers that are up.
 * @returns true where it is, false where the time was up before
 */
export async function waitUntilInForce(
  cluster: Cluster,
  revisions: readonly OperatorRevision[],
  timeoutMs: number,
): Promise<boolean> {
  const endsAt = performance.now() + timeoutMs;
  while (performance.now() < endsAt) {
    const answers = await Promise.all(revisions.map((revision) => isInForce(cluster, revision)));
    if (answers.every((answer) => answer)) {
      return true;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  return false;
}

async function isInForce(
  cluster: Cluster,
  { operator, revision }: OperatorRevision,
): Promise<boolean> {
  const answer = await cluster.clientOf(operator).query({ type: 'in-force' });
  const up = cluster.balancers.filter((balancer) => balancer.isUp).map(({ nodeId }) => nodeId);
  return answer.match(
    ({ balancerCount, lagging }) =>
      balancerCount >= up.length &&
      !lagging.some((one) => up.includes(one.balancerId) && one.revision < revision),
    () => false,
  );
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
