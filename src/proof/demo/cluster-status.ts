/**
 * @file What a running cluster reports of itself: which balancers have which configuration in force, and what its back ends ran. Asks over the
 * operators' interface and the HTTP endpoints of the stand-ins.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { sendJson } from '../../managed/daemon/http-json.js';
import type { Cluster, ClusterBackend } from './cluster.js';
import type { BackendRuns } from './harm-summary.js';

const HTTP_TIMEOUT_MS = 2_000;
const POLL_INTERVAL_MS = 50;

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
 * Waits until a configuration is in force on all balancers.
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
  const up = cluster.balancers.map(({ nodeId }) => nodeId);
  return answer.match(
    ({ balancerCount, lagging }) =>
      balancerCount >= up.length &&
      !lagging.some((one) => up.includes(one.balancerId) && one.revision < revision),
    () => false,
  );
}

/**
 * @returns what each back end ran; throws where one gives no answer, since the counts of harm need all
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
