/**
 * @file Queries a running cluster: the configuration revision in force on its balancers, over the operator interface, and the
 * requests that its back ends ran, over HTTP.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { sendJson } from '../../managed/daemon/http-json.js';
import type { Cluster, ClusterBackend } from './cluster.js';
import type { BackendRuns } from './run-summary.js';

const HTTP_TIMEOUT_MS = 2_000;
const POLL_INTERVAL_MS = 50;

/** A revision of an operator's configuration. */
export interface OperatorRevision {
  readonly operator: string;
  readonly revision: number;
}

/**
 * @returns for each operator the highest revision that added one of the back ends
 */
export function revisionsOf(backends: readonly ClusterBackend[]): OperatorRevision[] {
  const highest = new Map<string, number>();
  for (const { service, addedInRevision } of backends) {
    const highestSoFar = highest.get(service.operator) ?? 0;
    highest.set(service.operator, Math.max(highestSoFar, addedInRevision));
  }
  return [...highest].map(([operator, revision]) => ({ operator, revision }));
}

/**
 * Waits until the given revisions are in force on all balancers.
 * @returns true once they are, false on timeout
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
  const runningIds = cluster.balancers.map(({ nodeId }) => nodeId);
  return answer.match(
    ({ balancerCount, lagging }) =>
      balancerCount >= runningIds.length &&
      !lagging.some(
        (balancer) => runningIds.includes(balancer.balancerId) && balancer.revision < revision,
      ),
    () => false,
  );
}

/**
 * @returns the requests that each back end ran; throws if one does not answer, as the run summary needs all
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
